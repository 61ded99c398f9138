package dev.caroblb.callers;

import dev.caroblb.core.CallPolicy;
import java.util.Optional;

/** Token and calls of one workspace in the configuration in force. */
public interface WorkspaceAccess {
  /** SHA-256 of the token of the workspace, as 64 hex digits. */
  String tokenSha256();

  Optional<CallPolicy> call(String name);
}
