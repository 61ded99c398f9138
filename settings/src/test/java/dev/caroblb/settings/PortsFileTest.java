package dev.caroblb.settings;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;
import org.tomlj.Toml;

class PortsFileTest {
  @TempDir private Path folder;

  @Nested
  class AfterARestart {
    /**
     * Guards against keeping the ports of the previous process, and against leaving a temporary
     * file.
     */
    @Test
    void replacesTheFile() throws IOException {
      Path file = folder.resolve("ports.toml");
      PortsFile.write(file, 1, 2);
      PortsFile.write(file, 7001, 7101);
      assertEquals(7001, Toml.parse(file).getLong("callers_port"));
      assertEquals(7101, Toml.parse(file).getLong("peers_port"));
      assertFalse(Files.exists(folder.resolve("ports.toml.new")));
    }
  }
}
