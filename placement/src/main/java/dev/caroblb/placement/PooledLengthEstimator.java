package dev.caroblb.placement;

import dev.caroblb.core.WorkspaceId;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.LinkedHashSet;
import java.util.Map;
import java.util.Optional;
import java.util.Set;

/**
 * Curves for each model, call and workspace. A workspace's curve has the curve of the call as its
 * prior, and that one the assumption of {@link SurvivalCurve#coldStartHazard}. A mix of calls is
 * learned by kind as a whole.
 */
final class PooledLengthEstimator implements LengthEstimator {
  // About 1.5 KB each; the oldest unused are dropped and learned again from their prior.
  private static final int MAX_WORKSPACE_CURVES = 8_192;

  private record CallKey(String kind, String callName) {}

  private record WorkspaceKey(String kind, String callName, WorkspaceId workspace) {}

  private final Map<String, SurvivalCurve> kinds = new HashMap<>();
  private final Map<CallKey, SurvivalCurve> calls = new HashMap<>();
  private final Map<WorkspaceKey, SurvivalCurve> workspaces =
      new LinkedHashMap<>(16, 0.75f, true) {
        @Override
        protected boolean removeEldestEntry(Map.Entry<WorkspaceKey, SurvivalCurve> eldest) {
          return size() > MAX_WORKSPACE_CURVES;
        }
      };
  // Insertion order puts a prior before the curves that follow it.
  private final Set<SurvivalCurve> changedPriors = new LinkedHashSet<>();
  private final Set<SurvivalCurve> changed = new LinkedHashSet<>();

  @Override
  public void grew(PlacementRequest request, int from, int to) {
    if (LengthBuckets.index(from) == LengthBuckets.index(to)) {
      return;
    }
    SurvivalCurve kind = curve(request.kind());
    SurvivalCurve call = callCurve(request.kind(), request.callName());
    SurvivalCurve own = curve(request.kind(), request.callName(), request.workspace());
    kind.grew(from, to);
    call.grew(from, to);
    own.grew(from, to);
    changedPriors.add(kind);
    changedPriors.add(call);
    changed.add(own);
  }

  @Override
  public void ended(PlacementRequest request, int from, int to) {
    grew(request, from, to);
    SurvivalCurve kind = curve(request.kind());
    SurvivalCurve call = callCurve(request.kind(), request.callName());
    SurvivalCurve own = curve(request.kind(), request.callName(), request.workspace());
    kind.ended(to);
    call.ended(to);
    own.ended(to);
    changedPriors.add(kind);
    changedPriors.add(call);
    changed.add(own);
  }

  @Override
  public SurvivalCurve curve(String kind, String callName, WorkspaceId workspace) {
    WorkspaceKey key = new WorkspaceKey(kind, callName, workspace);
    SurvivalCurve existing = workspaces.get(key);
    if (existing != null) {
      return existing;
    }
    SurvivalCurve created = new SurvivalCurve(Optional.of(callCurve(kind, callName)));
    workspaces.put(key, created);
    return created;
  }

  private SurvivalCurve callCurve(String kind, String callName) {
    return calls.computeIfAbsent(
        new CallKey(kind, callName), key -> new SurvivalCurve(Optional.empty()));
  }

  @Override
  public SurvivalCurve curve(String kind) {
    return kinds.computeIfAbsent(kind, key -> new SurvivalCurve(Optional.empty()));
  }

  @Override
  public void refresh() {
    changedPriors.forEach(SurvivalCurve::refresh);
    changed.forEach(SurvivalCurve::refresh);
    changedPriors.clear();
    changed.clear();
  }
}
