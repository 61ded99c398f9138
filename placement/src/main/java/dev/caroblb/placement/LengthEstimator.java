package dev.caroblb.placement;

import dev.caroblb.core.WorkspaceId;

/** Learns the distribution of output lengths. */
interface LengthEstimator {
  /** Records that a generation grew and continues. */
  void grew(PlacementRequest request, int from, int to);

  /** Records that a generation grew and ended. */
  void ended(PlacementRequest request, int from, int to);

  /** Curve for calls of one name and workspace. */
  SurvivalCurve curve(String modelOrService, String callName, WorkspaceId workspace);

  /** Curve of all calls of a model or service, used for generations of other instances. */
  SurvivalCurve curve(String modelOrService);

  /** Updates the curves with everything recorded since the last refresh. */
  void refresh();
}
