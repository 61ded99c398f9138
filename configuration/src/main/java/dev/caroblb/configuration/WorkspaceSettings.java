package dev.caroblb.configuration;

import dev.caroblb.configuration.teamfile.WorkspacePolicy;
import dev.caroblb.core.CallPolicy;
import java.util.Map;
import java.util.Optional;

/**
 * What holds for the calls of one workspace.
 *
 * @param team team that the workspace belongs to
 * @param policy token hash, share and limit of the workspace
 * @param calls calls of the team by name, one map shared by all of its workspaces
 */
public record WorkspaceSettings(
    String team, WorkspacePolicy policy, Map<String, CallPolicy> calls) {
  /** The treatment of a call, empty when the team file does not name it. */
  public Optional<CallPolicy> call(String name) {
    return Optional.ofNullable(calls.get(name));
  }
}
