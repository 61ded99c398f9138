package dev.caroblb.configcheck.teams;

import dev.caroblb.configcheck.Comparison;
import dev.caroblb.configcheck.Finding;
import dev.caroblb.configcheck.Setting;
import dev.caroblb.configuration.teamfile.ModelDemand;
import dev.caroblb.configuration.teamfile.TeamFile;
import dev.caroblb.configuration.teamfile.WorkspacePolicy;
import dev.caroblb.core.CallPolicy;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;

/** Compares a team file with the one in force. */
public final class TeamComparison {
  private TeamComparison() {}

  /** Returns the differences between two files of one team. */
  public static List<Finding> differences(TeamFile inForce, TeamFile next) {
    return Comparison.differences(entries(inForce), entries(next));
  }

  /** Returns the entries of a file whose team is not in force yet. */
  public static List<Finding> additions(TeamFile next) {
    return Comparison.differences(Map.of(), entries(next));
  }

  private static Map<String, List<Setting>> entries(TeamFile file) {
    Map<String, List<Setting>> entries = new LinkedHashMap<>();
    for (WorkspacePolicy workspace : file.workspaces()) {
      entries.put(
          "workspaces " + workspace.workspace(),
          List.of(
              new Setting("token_sha256", workspace.tokenSha256(), "another token"),
              Setting.of("share", workspace.share()),
              Setting.of("max_concurrent", workspace.maxConcurrent())));
    }
    for (ModelDemand demand : file.models()) {
      entries.put("models " + demand.model(), List.of(Setting.of("replicas", demand.replicas())));
    }
    new TreeMap<>(file.calls())
        .forEach((name, call) -> entries.put("calls." + name, settings(call)));
    return entries;
  }

  private static List<Setting> settings(CallPolicy call) {
    return List.of(
        Setting.of("model or service", call.modelOrService()),
        Setting.of("streams", call.streams()),
        Setting.of("priority", call.priority()),
        Setting.of("deadline_ms", call.defaultTimeoutMs()),
        Setting.of("repeatable", call.repeatable()),
        Setting.of("prefix_locality", call.prefixLocality()),
        Setting.of("class", call.callClass()));
  }
}
