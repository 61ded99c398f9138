package dev.caroblb.orders;

import dev.caroblb.core.ModelId;
import dev.caroblb.core.TargetId;
import java.util.LinkedHashSet;
import java.util.Set;

/**
 * State that an engine reported when it was read back.
 *
 * @param engine the engine
 * @param incarnation identity of its process; it changes with a restart, which unloads all models
 * @param loaded models that it serves
 * @param loading models whose load is in progress
 * @param running generations in progress
 * @param fencing greatest fencing token that it accepted; 0 for none, or if it ignores tokens
 */
public record EngineState(
    TargetId engine,
    String incarnation,
    Set<ModelId> loaded,
    Set<ModelId> loading,
    int running,
    long fencing) {
  public EngineState {
    loaded = Set.copyOf(loaded);
    loading = Set.copyOf(loading);
  }

  /** Models that are loaded or being loaded. */
  public Set<ModelId> present() {
    Set<ModelId> present = new LinkedHashSet<>(loaded);
    present.addAll(loading);
    return present;
  }
}
