package dev.caroblb.placement;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;

/** Baseline: the targets of a model or service in round-robin order. */
public final class RoundRobinPolicy implements PlacementPolicy {
  private final Fleet fleet;
  private final Map<String, Integer> next = new HashMap<>();

  public RoundRobinPolicy(Fleet fleet) {
    this.fleet = fleet;
  }

  @Override
  public Optional<Placement> place(PlacementRequest request, long nowMs) {
    List<Target> targets = fleet.serving(request.modelOrService());
    int start = next.getOrDefault(request.modelOrService(), 0);
    Optional<Target> fallback = Optional.empty();
    for (int i = 0; i < targets.size(); i++) {
      Target target = targets.get((start + i) % targets.size());
      if (Candidates.isSuitable(target, request)) {
        return Optional.of(Candidates.toPlacement(target, request));
      }
      fallback = fallback.isEmpty() && target.eligible() ? Optional.of(target) : fallback;
    }
    return fallback.map(target -> Candidates.toPlacement(target, request));
  }

  @Override
  public void placed(Generation generation, long nowMs) {
    String modelOrService = generation.request().modelOrService();
    next.put(modelOrService, fleet.serving(modelOrService).indexOf(generation.target()) + 1);
  }
}
