package dev.caroblb.forwarding;

import dev.caroblb.core.Payload;
import dev.caroblb.core.Refusal;
import java.util.List;

/** Receives the response to one request. No method blocks. */
public interface CallerPort {
  /** Ends the request with an error response of this instance. */
  void refuse(Refusal refusal);

  /** Ends the request with the complete response of a target. */
  void respond(ResponseHead head, Payload body);

  /** Starts a response whose body is passed to {@link #write(Payload)}. */
  void begin(ResponseHead head);

  /** Appends to the body; returns false, without appending anything, if the buffer is full. */
  boolean write(Payload part);

  /** Ends the body after further parts, which are taken even if the buffer is full. */
  void complete(List<Payload> lastParts);

  /** Aborts a response that was started, so that the caller cannot take it for complete. */
  void abort();
}
