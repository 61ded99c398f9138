package dev.caroblb.http;

import dev.caroblb.core.Payload;
import java.util.List;
import java.util.Map;

/** Answer to one request. May be used from any thread. */
public interface Reply {
  /** Sends a whole answer. */
  void send(int status, String contentType, Payload body, Map<String, String> headers);

  /** Sends the head of an answer whose body follows by {@link #write(Payload)}. */
  void startStream(int status, String contentType, Map<String, String> headers);

  /** Appends to the body; false when the output buffer is full and nothing was appended. */
  boolean write(Payload chunk);

  /** Ends the body after what was written. */
  void end();

  /** Sends a whole answer with the given header lines. */
  void send(int status, List<HeaderField> fields, Payload body);

  /** Sends the head of an answer with the given header lines; its body follows. */
  void startStream(int status, List<HeaderField> fields);

  /** Closes the connection, so that an answer that was started does not look complete. */
  void abort();

  /** Sets what to call once the buffer has room again after it was full. */
  void onReady(Runnable action);

  /** Sets what to call when the connection is lost before the answer was complete. */
  void onGone(Runnable action);
}
