package dev.caroblb.core;

/** Decisions of one duty. All methods run on the thread of the duty. */
public interface DutyHandler<M> {
  /** Processes one message. */
  void handle(M message, long nowMs);

  /** Does what is due at {@code nowMs}; called at or after the time of {@link #nextTickMs()}. */
  void tick(long nowMs);

  /** Monotonic time in milliseconds at which {@link #tick(long)} is due next. */
  long nextTickMs();

  /** Called after all messages that wait were handled, for example to sync a batch. */
  default void batchEnd(long nowMs) {}
}
