package dev.caroblb.forwarding;

import dev.caroblb.core.FailureDomain;
import dev.caroblb.core.TargetId;
import java.util.ArrayList;
import java.util.Collection;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.random.RandomGenerator;

/** The targets that this instance knows, and the choice among those of a service. */
final class TargetPool {
  private final FailureDomain domain;
  private final RandomGenerator random;
  private final Map<TargetId, Target> targets = new HashMap<>();

  TargetPool(FailureDomain domain, RandomGenerator random) {
    this.domain = domain;
    this.random = random;
  }

  /** Adds a target or its new run; an announcement of the same run changes nothing. */
  void available(TargetInfo info) {
    Target known = targets.get(info.id());
    if (known != null && known.info().equals(info)) {
      return;
    }
    targets.put(info.id(), new Target(info));
  }

  /** Marks a run as leaving; returns it unless it is unknown or was marked before. */
  Optional<Target> leaving(TargetId id, long incarnation) {
    Target known = targets.get(id);
    if (known == null || known.info().incarnation() != incarnation || known.leaving()) {
      return Optional.empty();
    }
    known.leave();
    return Optional.of(known);
  }

  void gone(TargetId id, long incarnation) {
    Target known = targets.get(id);
    if (known != null && known.info().incarnation() == incarnation) {
      targets.remove(id);
    }
  }

  Collection<Target> all() {
    return targets.values();
  }

  /**
   * Chooses the target of a service with the least work of this instance, ties at random and the
   * own failure domain first. Targets in {@code tried} and those that failed lately are taken only
   * when no other is left.
   */
  Optional<Target> choose(String service, Set<TargetId> tried, long nowMs) {
    List<Target> usable = new ArrayList<>();
    List<Target> preferred = new ArrayList<>();
    for (Target target : targets.values()) {
      if (!target.info().service().equals(service) || target.leaving()) {
        continue;
      }
      if (tried.contains(target.info().id())) {
        continue;
      }
      usable.add(target);
      if (!target.penalized(nowMs)) {
        preferred.add(target);
      }
    }
    return least(preferred.isEmpty() ? usable : preferred);
  }

  private Optional<Target> least(List<Target> candidates) {
    Optional<Target> best = Optional.empty();
    double bestLoad = Double.MAX_VALUE;
    for (Target candidate : candidates) {
      double load = load(candidate);
      if (load < bestLoad) {
        best = Optional.of(candidate);
        bestLoad = load;
      }
    }
    return best;
  }

  /** Work in tokens, or in requests where none have tokens; less than one of either breaks ties. */
  private double load(Target target) {
    double tie = random.nextDouble() / 2;
    if (!target.info().domain().equals(domain)) {
      tie += 0.5;
    }
    return target.running() + target.runningTokens() + tie;
  }
}
