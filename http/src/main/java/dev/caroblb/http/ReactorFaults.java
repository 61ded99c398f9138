package dev.caroblb.http;

import dev.caroblb.core.LogLine;
import java.util.concurrent.atomic.AtomicBoolean;
import org.apache.hc.core5.function.Callback;

/** Remembers that the reactor of a listener met an exception that no connection handled. */
final class ReactorFaults implements Callback<Exception> {
  private static final System.Logger LOGGER = System.getLogger(ReactorFaults.class.getName());

  private final AtomicBoolean reported = new AtomicBoolean();

  @Override
  public void execute(Exception cause) {
    LOGGER.log(
        System.Logger.Level.DEBUG, LogLine.of("http.exception").with("cause", cause).toString());
    report();
  }

  void report() {
    reported.set(true);
  }

  /** Whether there was a fault since the last call. */
  boolean reported() {
    return reported.getAndSet(false);
  }
}
