package dev.caroblb.configuration.teamfile;

import dev.caroblb.core.CallPolicy;
import java.util.List;
import java.util.Map;

/**
 * Content of a valid team file.
 *
 * @param team name of the team
 * @param workspaces workspaces of the team; an empty list removes all of them
 * @param models models that the team needs, with their numbers of replicas
 * @param calls policies of calls by name, which apply to all workspaces of the team
 */
public record TeamFile(
    String team,
    List<WorkspacePolicy> workspaces,
    List<ModelDemand> models,
    Map<String, CallPolicy> calls) {
  public TeamFile {
    workspaces = List.copyOf(workspaces);
    models = List.copyOf(models);
    calls = Map.copyOf(calls);
  }
}
