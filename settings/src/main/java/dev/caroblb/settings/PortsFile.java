package dev.caroblb.settings;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.nio.file.StandardCopyOption;

/**
 * File that tells other processes which ports an instance listens on, for ports chosen by the
 * operating system.
 */
public final class PortsFile {
  private PortsFile() {}

  /**
   * Writes {@code callers_port} and {@code peers_port} as TOML. The file is replaced atomically, so
   * that a reader that waits for it never sees a partial file.
   */
  public static void write(Path file, int callersPort, int peersPort) throws IOException {
    Path temporary = file.resolveSibling(file.getFileName() + ".new");
    Files.writeString(
        temporary, "callers_port = " + callersPort + "\npeers_port = " + peersPort + "\n");
    Files.move(
        temporary, file, StandardCopyOption.ATOMIC_MOVE, StandardCopyOption.REPLACE_EXISTING);
  }
}
