package dev.caroblb.configuration;

import dev.caroblb.configuration.teamfile.TeamFileError;
import dev.caroblb.core.LogLine;

/** Log lines about the installation of configurations. */
final class InstallLog {
  private InstallLog() {}

  static String unreadable(String file, TeamFileError first) {
    return LogLine.of("configuration.unreadable")
        .with("file", file)
        .with("error", first.message())
        .with("remedy", "update this instance to the software version of the control leader")
        .toString();
  }

  static String installed(long number, int workspaces) {
    return LogLine.of("configuration.installed")
        .with("number", number)
        .with("workspaces", workspaces)
        .toString();
  }
}
