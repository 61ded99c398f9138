package dev.caroblb.systemtests;

import java.io.IOException;

/** Where an instance finds each of the others, so that something can stand between them. */
public interface PeerAddresses {
  /**
   * Address by which one instance reaches another.
   *
   * @param from the instance that connects
   * @param to the instance that listens
   * @param address where the other instance listens
   */
  String seenBy(String from, String to, String address) throws IOException;
}
