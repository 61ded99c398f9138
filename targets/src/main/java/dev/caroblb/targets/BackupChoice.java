package dev.caroblb.targets;

import dev.caroblb.pacing.TargetLimits;
import dev.caroblb.routing.EngineLimits;
import java.util.ArrayList;
import java.util.Collection;
import java.util.List;
import java.util.Optional;

/** Chooses the engines that continuously get copies of the memory of generations. */
final class BackupChoice {
  /**
   * Fraction of an engine's memory up to which it takes backups. Backups take memory from requests
   * that would run there.
   */
  private static final double MAX_BACKUP_ENGINE_FRACTION = 0.7;

  private final TargetLoads loads;
  private final TargetLimits limits;
  private final TargetChoice choice;

  BackupChoice(TargetLoads loads, TargetLimits limits, TargetChoice choice) {
    this.loads = loads;
    this.limits = limits;
    this.choice = choice;
  }

  /**
   * Chooses an engine that has room for a copy.
   *
   * @param others the engines that may get it
   * @param all all known targets
   */
  Optional<Target> choose(
      PlacementNeed need, Target primary, List<Target> others, Collection<Target> all, long nowMs) {
    Optional<EngineLimits> engine = loads.limits(need.service()).filter(EngineLimits::backups);
    if (engine.isEmpty()
        || !need.wantsBackup()
        || !loads.roomForBackups(all, need, engine.get(), nowMs)) {
      return Optional.empty();
    }
    long room = (long) (MAX_BACKUP_ENGINE_FRACTION * engine.get().memoryTokens()) - need.tokens();
    List<Target> candidates = new ArrayList<>();
    for (Target target : others) {
      // All generations with this backup may continue there at the same time.
      boolean limited = limits.limited(target.info().run(), nowMs);
      if (!limited && loads.total(target, nowMs).tokens() <= room) {
        candidates.add(target);
      }
    }
    return choice.copyDestination(candidates, need, primary.info().domain(), nowMs);
  }
}
