package dev.caroblb.placement;

import dev.caroblb.core.TargetId;
import java.util.ArrayList;
import java.util.Collection;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;

/** State of placement: the known targets and the running generations of this instance. */
public final class Fleet {
  private final Map<TargetId, Target> targets = new HashMap<>();
  private final Map<String, List<Target>> byModelOrService = new HashMap<>();
  private final Map<Long, Generation> generations = new HashMap<>();

  /**
   * Applies membership information. An older incarnation is ignored; a newer one replaces the state
   * of the target.
   */
  Optional<Target> update(TargetView view, long nowMs) {
    Target known = targets.get(view.target());
    if (known != null && known.view().incarnation() > view.incarnation()) {
      return Optional.empty();
    }
    if (view.state() == TargetState.GONE) {
      remove(known);
      return Optional.empty();
    }
    if (known != null && known.view().incarnation() == view.incarnation()) {
      // Leaving is final within an incarnation; an outdated message must not revert it.
      if (known.view().state() == TargetState.LEAVING && view.state() != TargetState.LEAVING) {
        return Optional.of(known);
      }
      if (!known.view().serves().equals(view.serves())) {
        removeFromServing(known);
        addToServing(known, view);
      }
      known.update(view, nowMs);
      return Optional.of(known);
    }
    remove(known);
    Target target = new Target(view, nowMs);
    targets.put(view.target(), target);
    addToServing(target, view);
    target.update(view, nowMs);
    return Optional.of(target);
  }

  private void addToServing(Target target, TargetView view) {
    for (String modelOrService : view.serves()) {
      byModelOrService.computeIfAbsent(modelOrService, key -> new ArrayList<>()).add(target);
    }
  }

  private void remove(Target known) {
    if (known == null) {
      return;
    }
    targets.remove(known.id());
    removeFromServing(known);
  }

  private void removeFromServing(Target known) {
    for (String modelOrService : known.view().serves()) {
      List<Target> serving = byModelOrService.get(modelOrService);
      serving.remove(known);
      if (serving.isEmpty()) {
        byModelOrService.remove(modelOrService);
      }
    }
  }

  Optional<Target> target(TargetId id) {
    return Optional.ofNullable(targets.get(id));
  }

  /** Targets that serve a model or service, eligible or not; the list must not be changed. */
  public List<Target> serving(String modelOrService) {
    List<Target> serving = byModelOrService.get(modelOrService);
    return serving == null ? List.of() : serving;
  }

  /** Whether a target is known that serves a model or service and is not evacuated. */
  boolean anyNotEvacuated(String modelOrService) {
    return serving(modelOrService).stream()
        .anyMatch(target -> target.view().state() != TargetState.EVACUATED);
  }

  Collection<List<Target>> targetsByModelOrService() {
    return byModelOrService.values();
  }

  /** Records a placement; empty when the target no longer exists. */
  Optional<Generation> start(PlacementRequest request, Placement placement, long nowMs) {
    Target target = targets.get(placement.target());
    if (target == null) {
      return Optional.empty();
    }
    Generation generation = new Generation(request, target, nowMs);
    generations.put(request.call(), generation);
    target.add(generation);
    if (request.prompt().prefix() != 0) {
      target.prefixes.sent(request.prompt().prefix());
    }
    return Optional.of(generation);
  }

  Optional<Generation> generation(long call) {
    return Optional.ofNullable(generations.get(call));
  }

  Optional<Generation> end(long call, long nowMs) {
    Generation generation = generations.remove(call);
    if (generation == null) {
      return Optional.empty();
    }
    generation.target().remove(generation, nowMs);
    return Optional.of(generation);
  }

  /** Number of running generations of this instance. */
  public int running() {
    return generations.size();
  }
}
