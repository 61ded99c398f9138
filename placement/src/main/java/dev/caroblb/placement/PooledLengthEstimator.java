package dev.caroblb.placement;

import dev.caroblb.core.WorkspaceId;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.LinkedHashSet;
import java.util.Map;
import java.util.Optional;
import java.util.Set;

/**
 * Keeps an overall curve for each model or service, a curve for each of its calls and one for each
 * workspace of a call. The prior of a workspace curve is the curve of its call. Overall curves and
 * curves of calls start with {@link SurvivalCurve#coldStartHazard}. An overall curve covers all
 * calls of the model or service together.
 */
final class PooledLengthEstimator implements LengthEstimator {
  // About 1.5 KB each; the least recently used is evicted and later relearned from its prior.
  private static final int MAX_WORKSPACE_CURVES = 8_192;

  private record CallKey(String modelOrService, String callName) {}

  private record WorkspaceKey(String modelOrService, String callName, WorkspaceId workspace) {}

  private final Map<String, SurvivalCurve> overallCurves = new HashMap<>();
  private final Map<CallKey, SurvivalCurve> calls = new HashMap<>();
  private final Map<WorkspaceKey, SurvivalCurve> workspaces =
      new LinkedHashMap<>(16, 0.75f, true) {
        @Override
        protected boolean removeEldestEntry(Map.Entry<WorkspaceKey, SurvivalCurve> eldest) {
          return size() > MAX_WORKSPACE_CURVES;
        }
      };
  // Refreshed before the workspace curves, which depend on them.
  private final Set<SurvivalCurve> changedPriors = new LinkedHashSet<>();
  private final Set<SurvivalCurve> changedWorkspaces = new LinkedHashSet<>();

  @Override
  public void grew(PlacementRequest request, int from, int to) {
    if (LengthBuckets.index(from) == LengthBuckets.index(to)) {
      return;
    }
    SurvivalCurve overall = curve(request.modelOrService());
    SurvivalCurve call = callCurve(request.modelOrService(), request.callName());
    SurvivalCurve own = curve(request.modelOrService(), request.callName(), request.workspace());
    overall.grew(from, to);
    call.grew(from, to);
    own.grew(from, to);
    changedPriors.add(overall);
    changedPriors.add(call);
    changedWorkspaces.add(own);
  }

  @Override
  public void ended(PlacementRequest request, int from, int to) {
    grew(request, from, to);
    SurvivalCurve overall = curve(request.modelOrService());
    SurvivalCurve call = callCurve(request.modelOrService(), request.callName());
    SurvivalCurve own = curve(request.modelOrService(), request.callName(), request.workspace());
    overall.ended(to);
    call.ended(to);
    own.ended(to);
    changedPriors.add(overall);
    changedPriors.add(call);
    changedWorkspaces.add(own);
  }

  @Override
  public SurvivalCurve curve(String modelOrService, String callName, WorkspaceId workspace) {
    WorkspaceKey key = new WorkspaceKey(modelOrService, callName, workspace);
    SurvivalCurve existing = workspaces.get(key);
    if (existing != null) {
      return existing;
    }
    SurvivalCurve created = new SurvivalCurve(Optional.of(callCurve(modelOrService, callName)));
    workspaces.put(key, created);
    return created;
  }

  private SurvivalCurve callCurve(String modelOrService, String callName) {
    return calls.computeIfAbsent(
        new CallKey(modelOrService, callName), key -> new SurvivalCurve(Optional.empty()));
  }

  @Override
  public SurvivalCurve curve(String modelOrService) {
    return overallCurves.computeIfAbsent(
        modelOrService, key -> new SurvivalCurve(Optional.empty()));
  }

  @Override
  public void refresh() {
    changedPriors.forEach(SurvivalCurve::refresh);
    changedWorkspaces.forEach(SurvivalCurve::refresh);
    changedPriors.clear();
    changedWorkspaces.clear();
  }
}
