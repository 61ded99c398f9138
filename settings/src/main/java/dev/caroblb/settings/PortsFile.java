package dev.caroblb.settings;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.nio.file.StandardCopyOption;

/** Tells other processes which ports an instance listens on when the system chose them. */
public final class PortsFile {
  private PortsFile() {}

  /**
   * Writes {@code callers_port} and {@code peers_port} as TOML. The file appears complete or not at
   * all, so that a reader can wait for it.
   */
  public static void write(Path file, int callersPort, int peersPort) throws IOException {
    Path aside = file.resolveSibling(file.getFileName() + ".new");
    Files.writeString(
        aside, "callers_port = " + callersPort + "\npeers_port = " + peersPort + "\n");
    Files.move(aside, file, StandardCopyOption.ATOMIC_MOVE, StandardCopyOption.REPLACE_EXISTING);
  }
}
