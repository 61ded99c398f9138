package dev.caroblb.forwarding;

/** Sends requests to targets; the results are offered to the queue of the forwarding handler. */
public interface TargetPort {
  /** Sends a request. */
  void start(AttemptOrder order);

  /** Cancels an attempt and closes its connection. */
  void cancel(long call, int attempt);

  /** Acknowledges the received parts of a response, so that the target may send more. */
  void acknowledge(long call, int attempt);

  /** Copies the memory of a running generation to another engine. */
  void move(MoveOrder order);
}
