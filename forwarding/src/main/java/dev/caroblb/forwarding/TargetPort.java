package dev.caroblb.forwarding;

/** Sends orders to targets; what becomes of them is offered to the forwarding duty. */
public interface TargetPort {
  /** Sends a request. */
  void start(AttemptOrder order);

  /** Gives up an attempt and closes its connection. */
  void cancel(long call, int attempt);

  /** Lets the target of an attempt send on after its parts were taken. */
  void acknowledge(long call, int attempt);

  /** Copies the memory of a running generation to another engine. */
  void move(MoveOrder order);
}
