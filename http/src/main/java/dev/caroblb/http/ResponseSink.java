package dev.caroblb.http;

import java.nio.ByteBuffer;
import java.util.List;
import java.util.Map;

/**
 * Receives one response. Called on the reactor threads; must not block. The last call is {@link
 * #end()}, {@link #failed(boolean, String)}, {@link #malformed(String)} or {@link
 * #connectionRefused(String)}.
 */
public interface ResponseSink {
  /** Receives the response head; header names are in lower case. */
  void head(int status, Map<String, String> headers);

  /** Receives the response head, with its header fields as received. */
  default void head(int status, List<HeaderField> fields) {
    head(status, HeaderField.byName(fields));
  }

  /** Receives a part of the body, which must be consumed completely. */
  void data(ByteBuffer part);

  /** The response is complete. */
  void end();

  /**
   * The request failed before the response was complete.
   *
   * @param written whether any byte of the request may have been sent
   */
  void failed(boolean written, String cause);

  /**
   * The request failed because the peer sent bytes that are no response. Unlike a connection that
   * breaks off, this shows that the peer runs.
   */
  default void malformed(String cause) {
    failed(true, cause);
  }

  /** The request failed because no process listens at the address. */
  default void connectionRefused(String cause) {
    failed(false, cause);
  }
}
