package dev.caroblb.core;

/** Processes the messages of one {@link Duty}. All methods run on the thread of the duty. */
public interface DutyHandler<M> {
  void handle(M message, long nowMs);

  /** Runs the timed work that is due; called at or after the time of {@link #nextTickMs()}. */
  void tick(long nowMs);

  /** Monotonic time in milliseconds at which {@link #tick(long)} is due next. */
  long nextTickMs();

  /** Called after the last message of a batch, for example to sync the batch to disk. */
  default void batchEnd(long nowMs) {}
}
