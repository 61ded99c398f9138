package dev.caroblb.systemtests;

import java.io.File;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;

/** Locates the example files and the built modules of this repository. */
final class Repository {
  private Repository() {}

  static Path root() {
    Path folder = Path.of("").toAbsolutePath();
    while (!Files.exists(folder.resolve(".ci/run"))) {
      folder = folder.getParent();
      if (folder == null) {
        throw new IllegalStateException("the working directory is not inside the repository");
      }
    }
    return folder;
  }

  static Path teamFile(String name) {
    return root().resolve("examples/teams").resolve(name);
  }

  /** Class path of a module and its dependencies, as {@code mvn package} leaves them. */
  private static String classPath(String module) {
    Path target = root().resolve(module).resolve("target");
    return target.resolve("classes") + File.pathSeparator + target.resolve("lib") + "/*";
  }

  /** Command that runs a main class. Small heaps allow many processes on one machine. */
  static List<String> javaCommand(String module, String mainClass) {
    return List.of(
        Path.of(System.getProperty("java.home"), "bin", "java").toString(),
        "-Xmx96m",
        "-XX:+UseSerialGC",
        "-XX:TieredStopAtLevel=1",
        "-Xshare:auto",
        "-cp",
        classPath(module),
        mainClass);
  }
}
