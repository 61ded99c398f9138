package dev.caroblb.systemtests;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.time.Duration;
import java.util.List;
import java.util.concurrent.TimeUnit;

/** A child process that writes its output to a file. */
public final class ManagedProcess implements AutoCloseable {
  private static final long KILL_TIMEOUT_MS = 10_000;

  private final String name;
  private final Process process;
  private final Path output;

  private ManagedProcess(String name, Process process, Path output) {
    this.name = name;
    this.process = process;
    this.output = output;
  }

  static ManagedProcess start(String name, List<String> command, Path folder) throws IOException {
    Path output = folder.resolve(name + ".log");
    Process process =
        new ProcessBuilder(command)
            .redirectErrorStream(true)
            .redirectOutput(ProcessBuilder.Redirect.appendTo(output.toFile()))
            .start();
    process.getOutputStream().close();
    return new ManagedProcess(name, process, output);
  }

  String name() {
    return name;
  }

  /** CPU time used so far. */
  Duration cpu() {
    return process.info().totalCpuDuration().orElse(Duration.ZERO);
  }

  /** Process id, which changes when an instance is started again. */
  public long pid() {
    return process.pid();
  }

  public boolean alive() {
    return process.isAlive();
  }

  public String output() throws IOException {
    return Files.readString(output);
  }

  /** Asks the process to shut down (SIGTERM). */
  public void terminate() {
    process.destroy();
  }

  /** Kills the process without a shutdown (SIGKILL) and waits for its exit. */
  public void kill() throws InterruptedException {
    process.destroyForcibly();
    process.waitFor(KILL_TIMEOUT_MS, TimeUnit.MILLISECONDS);
  }

  /** Suspends the process (SIGSTOP) until {@link #resume()}. */
  public void freeze() throws IOException, InterruptedException {
    signal("-STOP");
  }

  public void resume() throws IOException, InterruptedException {
    signal("-CONT");
  }

  private void signal(String signal) throws IOException, InterruptedException {
    new ProcessBuilder("kill", signal, Long.toString(process.pid())).start().waitFor();
  }

  /** Waits for the process to exit; empty if it still runs after the given time. */
  public java.util.OptionalInt awaitExit(long timeoutMs) throws InterruptedException {
    return process.waitFor(timeoutMs, TimeUnit.MILLISECONDS)
        ? java.util.OptionalInt.of(process.exitValue())
        : java.util.OptionalInt.empty();
  }

  @Override
  public void close() {
    try {
      kill();
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
    }
  }
}
