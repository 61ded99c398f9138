package dev.caroblb.forwarding;

import dev.caroblb.core.Payload;
import dev.caroblb.core.Refusal;

/** Where the answer to one request goes. It never blocks. */
public interface CallerPort {
  /** Ends the request with an answer of this instance. */
  void refuse(Refusal refusal);

  /** Ends the request with the whole answer of a target. */
  void answer(AnswerHead head, Payload body);

  /** Starts an answer whose body follows by {@link #write(Payload)}. */
  void begin(AnswerHead head);

  /** Appends to the body; false when there is no room and nothing was appended. */
  boolean write(Payload part);

  /** Ends the body. */
  void complete();

  /** Breaks off an answer that was begun, so that it does not look complete. */
  void abort();
}
