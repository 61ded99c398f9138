package dev.caroblb.configcheck.teams;

import dev.caroblb.configcheck.ConfigurationRule;
import dev.caroblb.configcheck.Finding;
import dev.caroblb.configuration.teamfile.TeamFile;
import dev.caroblb.core.ModelId;
import java.util.HashSet;
import java.util.List;
import java.util.Set;

/** A model that no call names occupies engines without use. */
final class UnusedModel implements ConfigurationRule<TeamFile> {
  @Override
  public List<Finding> findings(TeamFile file) {
    Set<ModelId> used = new HashSet<>();
    file.calls().values().forEach(call -> call.model().ifPresent(used::add));
    return file.models().stream()
        .filter(demand -> !used.contains(demand.model()))
        .map(
            demand ->
                Finding.unreachable(
                    "models " + demand.model(),
                    demand.replicas() + " replicas of a model that no call uses",
                    "add a call or remove the model"))
        .toList();
  }
}
