package dev.caroblb.forwarding;

import dev.caroblb.targets.PlacementNeed;
import dev.caroblb.targets.Target;
import dev.caroblb.targets.TargetPool;
import java.util.Optional;

/**
 * Chooses where a generation continues whose connection was lost: at the engine that has its copy
 * or its backup. If nothing may be sent there because that engine is evacuated, another engine gets
 * the memory from the source, provided that the source still has it.
 */
final class ContinuationChooser {
  private final TargetPool pool;

  ContinuationChooser(TargetPool pool) {
    this.pool = pool;
  }

  /** The move with which the generation continues; empty if it cannot continue. */
  Optional<GenerationMove> choose(Exchange exchange, Target source, long nowMs) {
    Optional<GenerationMove> copied = exchange.move().filter(move -> move.copy().isPresent());
    if (copied.isPresent() && !copied.get().destination().evacuated()) {
      return copied;
    }
    Optional<Target> backup = exchange.backup().filter(pool::staying);
    if (backup.isPresent()) {
      return Optional.of(
          GenerationMove.toBackup(backup.get(), backupOf(exchange, backup.get()), nowMs));
    }
    boolean evacuated =
        copied.isPresent() || exchange.backup().filter(Target::evacuated).isPresent();
    if (!evacuated) {
      return Optional.empty();
    }
    PlacementNeed need =
        exchange.placementNeed(PlacementNeed.Purpose.MOVE, source.info().domain(), nowMs);
    Optional<Target> destination =
        pool.chooseDestination(need, TargetPool.OWN_MOVE_CANDIDATES, nowMs);
    destination.ifPresent(engine -> pool.takePermit(engine, nowMs));
    return destination.map(GenerationMove::to);
  }

  private static CopiedMemory backupOf(Exchange exchange, Target engine) {
    return new CopiedMemory(engine.info().address(), exchange.call().requestId());
  }
}
