package dev.caroblb.placement;

import dev.caroblb.core.WorkspaceId;

/** Learns how long outputs get. */
interface LengthEstimator {
  /** Takes in that a generation grew and goes on. */
  void grew(PlacementRequest request, int from, int to);

  /** Takes in that a generation grew and ended. */
  void ended(PlacementRequest request, int from, int to);

  /** Curve for calls of one name and workspace. */
  SurvivalCurve curve(String kind, String callName, WorkspaceId workspace);

  /** Curve of all calls of a kind, for generations of other instances. */
  SurvivalCurve curve(String kind);

  /** Makes what was taken in since the last time visible in the curves. */
  void refresh();
}
