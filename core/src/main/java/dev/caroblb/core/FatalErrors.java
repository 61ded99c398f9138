package dev.caroblb.core;

import java.util.concurrent.atomic.AtomicBoolean;
import java.util.function.Consumer;

/**
 * Ends the process when a part of it has ended for good: a thread by an uncaught error, or a
 * reactor by itself. A process without a thread of a duty or a listener would keep running and
 * serve nothing; its supervisor restarts a process that has ended.
 */
public final class FatalErrors implements Thread.UncaughtExceptionHandler {
  private final Consumer<String> log;
  private final Runnable halt;
  private final AtomicBoolean reported = new AtomicBoolean();

  /**
   * @param log receives the line for the first failure; writes it before it returns
   * @param halt ends the process without waiting for its threads
   */
  public FatalErrors(Consumer<String> log, Runnable halt) {
    this.log = log;
    this.halt = halt;
  }

  /** Handles the errors that end threads of this process. */
  public void install() {
    Thread.setDefaultUncaughtExceptionHandler(this);
  }

  @Override
  public void uncaughtException(Thread thread, Throwable error) {
    report(thread.getName(), error);
  }

  /** Logs the failure of a part, for example a thread, and ends the process. */
  public void report(String part, Throwable cause) {
    try {
      if (reported.compareAndSet(false, true)) {
        log.accept(LogLine.of("process.failed").with("part", part).with("cause", cause).toString());
      }
    } finally {
      // Reached also if no memory is left for the log line.
      halt.run();
    }
  }
}
