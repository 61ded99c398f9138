package dev.caroblb.daemon;

import dev.caroblb.core.FatalErrors;
import java.io.PrintStream;
import java.time.Instant;

/** Ends the process with an exit code when a part of it has failed. */
public final class ProcessFailure {
  private ProcessFailure() {}

  /**
   * Handles the errors that end threads of this process.
   *
   * @param out gets the log line directly, since the thread of the log may not run any more
   */
  public static FatalErrors install(PrintStream out, int exitCode) {
    FatalErrors errors =
        new FatalErrors(
            line -> {
              out.println("time=" + Instant.now() + " level=SEVERE " + line);
              out.flush();
            },
            // Without shutdown hooks, which may need what has failed.
            () -> Runtime.getRuntime().halt(exitCode));
    errors.install();
    return errors;
  }
}
