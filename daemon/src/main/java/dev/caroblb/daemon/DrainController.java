package dev.caroblb.daemon;

import dev.caroblb.core.LogLine;
import dev.caroblb.core.Outlet;
import dev.caroblb.membership.DrainProgress;
import dev.caroblb.membership.DrainStage;
import dev.caroblb.streams.StreamsMessage;
import java.util.concurrent.locks.Condition;
import java.util.concurrent.locks.ReentrantLock;
import java.util.function.BooleanSupplier;

/** Runs the stages of a planned stop and tells the main thread when the process may exit. */
final class DrainController implements Outlet<DrainProgress> {
  private static final System.Logger LOGGER = System.getLogger(DrainController.class.getName());
  private static final long IDLE_CHECK_NANOS = 50_000_000;

  /** Time after the drain limit for the final events to reach their callers. */
  private static final long FINAL_EVENTS_TIMEOUT_NANOS = 2_000_000_000;

  private final ConfigurationGate gate;
  private final Outlet<StreamsMessage> streams;
  private final ReentrantLock lock = new ReentrantLock();
  private final Condition changed = lock.newCondition();
  private DrainStage stage;
  private boolean failed;

  DrainController(ConfigurationGate gate, Outlet<StreamsMessage> streams) {
    this.gate = gate;
    this.streams = streams;
  }

  @Override
  public boolean offer(DrainProgress progress) {
    DrainStage reached = progress.stage();
    LOGGER.log(
        System.Logger.Level.INFO, LogLine.of("drain.stage").with("stage", reached).toString());
    if (reached == DrainStage.REFUSE_NEW_CALLS) {
      gate.refuseNewCalls();
    }
    if (reached == DrainStage.LIMIT_REACHED) {
      gate.refuseNewCalls();
      streams.offer(new StreamsMessage.StopAll());
    }
    lock.lock();
    try {
      stage = reached;
      changed.signalAll();
    } finally {
      lock.unlock();
    }
    return true;
  }

  /** Ends {@link #await} because the durable state failed. */
  void fail() {
    lock.lock();
    try {
      failed = true;
      changed.signalAll();
    } finally {
      lock.unlock();
    }
  }

  boolean failed() {
    lock.lock();
    try {
      return failed;
    } finally {
      lock.unlock();
    }
  }

  /**
   * Waits until the drain has ended or {@link #fail()} was called.
   *
   * @param idle returns whether all answers are complete
   */
  void await(BooleanSupplier idle) throws InterruptedException {
    lock.lock();
    try {
      while (!failed && (stage == null || stage == DrainStage.ANNOUNCED)) {
        changed.await();
      }
      long remainingNanos = FINAL_EVENTS_TIMEOUT_NANOS;
      while (!failed && remainingNanos > 0 && !idle.getAsBoolean()) {
        long unusedNanos = changed.awaitNanos(IDLE_CHECK_NANOS);
        if (stage == DrainStage.LIMIT_REACHED) {
          remainingNanos -= IDLE_CHECK_NANOS - unusedNanos;
        }
      }
    } finally {
      lock.unlock();
    }
  }
}
