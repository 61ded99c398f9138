package dev.caroblb.http;

import dev.caroblb.core.Payload;
import java.util.List;
import java.util.Map;

/** Response to one request. May be used from any thread. */
public interface Reply {
  /** Sends a complete response. */
  void send(int status, String contentType, Payload body, Map<String, String> headers);

  /** Sends the head of a response whose body follows through {@link #write(Payload)}. */
  void startStream(int status, String contentType, Map<String, String> headers);

  /** Appends to the body; returns false, without appending, if the output buffer is full. */
  boolean write(Payload chunk);

  /** Ends the response after the data written so far. */
  default void end() {
    end(List.of());
  }

  /** Ends the response after further parts, which are taken even if the output buffer is full. */
  void end(List<Payload> lastParts);

  /** Sends a complete response with the given header fields. */
  void send(int status, List<HeaderField> fields, Payload body);

  /** Sends the head of a response with the given header fields; the body follows. */
  void startStream(int status, List<HeaderField> fields);

  /** Closes the connection, so that an incomplete response is recognizable as such. */
  void abort();

  /** Sets the callback for free space in the output buffer after it was full. */
  void onWritable(Runnable action);

  /** Sets the callback for a connection that is lost before the response is complete. */
  void onDisconnect(Runnable action);
}
