package dev.caroblb.configuration;

import dev.caroblb.configuration.teamfile.ModelDemand;
import dev.caroblb.configuration.teamfile.TeamFile;
import dev.caroblb.configuration.teamfile.WorkspacePolicy;
import dev.caroblb.core.CallPolicy;
import dev.caroblb.core.ModelId;
import dev.caroblb.core.WorkspaceId;
import io.vavr.collection.HashMap;
import java.util.Map;
import java.util.Optional;

/**
 * Immutable content of all team files as of one publish number. A snapshot shares all unchanged
 * parts with the snapshot that it was derived from.
 */
public final class ConfigurationSnapshot {
  private static final ConfigurationSnapshot EMPTY =
      new ConfigurationSnapshot(0, HashMap.empty(), HashMap.empty(), HashMap.empty());

  private final long number;
  private final HashMap<String, TeamFile> files;
  private final HashMap<WorkspaceId, WorkspaceSettings> workspaces;
  private final HashMap<ModelId, Integer> replicasByModel;

  private ConfigurationSnapshot(
      long number,
      HashMap<String, TeamFile> files,
      HashMap<WorkspaceId, WorkspaceSettings> workspaces,
      HashMap<ModelId, Integer> replicasByModel) {
    this.number = number;
    this.files = files;
    this.workspaces = workspaces;
    this.replicasByModel = replicasByModel;
  }

  public static ConfigurationSnapshot empty() {
    return EMPTY;
  }

  /** Returns a snapshot in which the given files are replaced, with a greater number. */
  public ConfigurationSnapshot with(long newNumber, Map<String, TeamFile> changed) {
    HashMap<String, TeamFile> newFiles = files;
    HashMap<WorkspaceId, WorkspaceSettings> newWorkspaces = workspaces;
    HashMap<ModelId, Integer> newReplicas = replicasByModel;
    // Removes all old versions first, because a workspace can move from one changed file to
    // another.
    for (String name : changed.keySet()) {
      Optional<TeamFile> old = files.get(name).toJavaOptional();
      if (old.isEmpty()) {
        continue;
      }
      for (WorkspacePolicy policy : old.get().workspaces()) {
        newWorkspaces = newWorkspaces.remove(policy.workspace());
      }
      for (ModelDemand demand : old.get().models()) {
        newReplicas = plus(newReplicas, demand.model(), -demand.replicas());
      }
    }
    for (Map.Entry<String, TeamFile> entry : changed.entrySet()) {
      TeamFile file = entry.getValue();
      newFiles = newFiles.put(entry.getKey(), file);
      for (WorkspacePolicy policy : file.workspaces()) {
        newWorkspaces =
            newWorkspaces.put(
                policy.workspace(), new WorkspaceSettings(file.team(), policy, file.calls()));
      }
      for (ModelDemand demand : file.models()) {
        newReplicas = plus(newReplicas, demand.model(), demand.replicas());
      }
    }
    return new ConfigurationSnapshot(newNumber, newFiles, newWorkspaces, newReplicas);
  }

  private static HashMap<ModelId, Integer> plus(
      HashMap<ModelId, Integer> replicas, ModelId model, int delta) {
    int sum = replicas.getOrElse(model, 0) + delta;
    return sum == 0 ? replicas.remove(model) : replicas.put(model, sum);
  }

  /** Number of the publish that this snapshot reflects, 0 before the first one. */
  public long number() {
    return number;
  }

  /** Settings of the workspace with the given name. */
  public Optional<WorkspaceSettings> workspace(WorkspaceId id) {
    return workspaces.get(id).toJavaOptional();
  }

  /** Policy of a call in a workspace. */
  public Optional<CallPolicy> call(WorkspaceId id, String call) {
    return workspace(id).flatMap(settings -> settings.call(call));
  }

  /** Number of replicas needed per model, summed over all teams. */
  public Map<ModelId, Integer> replicasByModel() {
    return replicasByModel.toJavaMap();
  }

  /** Number of workspaces. */
  public int workspaceCount() {
    return workspaces.size();
  }
}
