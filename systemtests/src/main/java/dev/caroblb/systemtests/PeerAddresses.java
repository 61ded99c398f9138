package dev.caroblb.systemtests;

import java.io.IOException;

/** Chooses the addresses at which instances reach each other, such as those of a proxy. */
public interface PeerAddresses {
  /**
   * Address to which one instance connects to reach another.
   *
   * @param from the instance that connects
   * @param to the instance that listens
   * @param listenAddress address on which the other instance listens
   */
  String addressFor(String from, String to, String listenAddress) throws IOException;
}
