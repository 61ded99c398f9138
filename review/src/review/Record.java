package review;

import java.io.IOException;
import java.io.PrintWriter;
import java.nio.file.Files;
import java.nio.file.Path;

/** Log of what was sent, answered and run, with the time since the start of the test. */
final class Record implements AutoCloseable {
  private final long startMs = Deployment.now();
  private final PrintWriter out;

  Record(Path folder) throws IOException {
    out = new PrintWriter(Files.newBufferedWriter(folder.resolve("record.txt")), true);
  }

  synchronized void add(String format, Object... arguments) {
    String line =
        "%7d ms  %s".formatted(Deployment.now() - startMs, format.formatted(arguments));
    out.println(line);
    System.out.println(line);
  }

  @Override
  public void close() {
    out.close();
  }
}
