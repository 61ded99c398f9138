package dev.caroblb.orders;

import dev.caroblb.core.ModelId;
import java.util.Collection;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeSet;

/** Wanted and present replicas of each model, and since when a model has a surplus. */
final class ReplicaBalance {
  private final Map<ModelId, Integer> wanted = new LinkedHashMap<>();
  private final Map<ModelId, Integer> present = new HashMap<>();
  private final Map<ModelId, Long> surplusSinceMs = new HashMap<>();

  void setWanted(Collection<WantedModel> models) {
    wanted.clear();
    models.forEach(model -> wanted.merge(model.model(), model.replicas(), Integer::sum));
  }

  /** Recounts the replicas; an outstanding order counts as if it had taken effect. */
  void count(Collection<EngineRecord> engines, long nowMs) {
    present.clear();
    for (EngineRecord engine : engines) {
      Set<ModelId> models = engine.state().map(EngineState::present).orElse(Set.of());
      models.forEach(model -> add(model, 1));
      engine
          .outstanding()
          .filter(order -> models.contains(order.model()) != (order.kind() == OrderKind.LOAD))
          .ifPresent(order -> add(order.model(), order.kind() == OrderKind.LOAD ? 1 : -1));
    }
    surplusSinceMs.keySet().removeIf(model -> surplus(model) <= 0);
    for (ModelId model : present.keySet()) {
      if (surplus(model) > 0) {
        surplusSinceMs.putIfAbsent(model, nowMs);
      }
    }
  }

  void add(ModelId model, int delta) {
    present.merge(model, delta, Integer::sum);
  }

  /** Present minus wanted replicas. */
  int surplus(ModelId model) {
    return present.getOrDefault(model, 0) - wanted.getOrDefault(model, 0);
  }

  boolean surplusSince(ModelId model, long sinceMs) {
    return surplus(model) > 0 && surplusSinceMs.getOrDefault(model, Long.MAX_VALUE) <= sinceMs;
  }

  /** Models with fewer replicas than wanted, largest deficit first. */
  Collection<ModelId> underReplicated() {
    TreeSet<ModelId> models =
        new TreeSet<>(
            (a, b) -> {
              int byDeficit = Integer.compare(surplus(a), surplus(b));
              return byDeficit != 0 ? byDeficit : a.toString().compareTo(b.toString());
            });
    wanted.keySet().stream().filter(model -> surplus(model) < 0).forEach(models::add);
    // Copied, since the comparator reads counts that change while orders are planned.
    return List.copyOf(models);
  }
}
