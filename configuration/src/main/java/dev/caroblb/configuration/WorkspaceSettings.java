package dev.caroblb.configuration;

import dev.caroblb.configuration.teamfile.WorkspacePolicy;
import dev.caroblb.core.CallPolicy;
import java.util.Map;
import java.util.Optional;

/**
 * Everything that a team file sets for the calls of one workspace.
 *
 * @param team team that the workspace belongs to
 * @param policy token hash, share and call limit of the workspace
 * @param calls policies of the calls of the team by name; one map that all its workspaces share
 */
public record WorkspaceSettings(
    String team, WorkspacePolicy policy, Map<String, CallPolicy> calls) {
  /** Policy of a call; empty if the team file does not define the call. */
  public Optional<CallPolicy> call(String name) {
    return Optional.ofNullable(calls.get(name));
  }
}
