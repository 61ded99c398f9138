package dev.caroblb.http;

import java.nio.ByteBuffer;
import java.util.List;
import java.util.Map;

/**
 * Receives one answer on the threads of the reactor; must not block. It ends with either {@link
 * #end()} or {@link #failed(boolean, String)}.
 */
public interface ResponseSink {
  /** The head arrived; header names are in lower case. */
  void head(int status, Map<String, String> headers);

  /** The head arrived, with its header lines as they were received. */
  default void head(int status, List<HeaderField> fields) {
    head(status, HeaderField.byName(fields));
  }

  /** A part of the body arrived; all of it must be read. */
  void data(ByteBuffer part);

  /** The answer is complete. */
  void end();

  /**
   * The answer will not be complete.
   *
   * @param written whether any byte of the request may have been sent
   */
  void failed(boolean written, String cause);
}
