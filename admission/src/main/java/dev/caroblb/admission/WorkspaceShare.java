package dev.caroblb.admission;

/**
 * Share and limit of a workspace at this entry instance.
 *
 * @param weight share of the capacity relative to other workspaces with waiting calls
 * @param maxConcurrent maximum number of calls that wait or run at once
 */
public record WorkspaceShare(int weight, int maxConcurrent) {
  public WorkspaceShare {
    if (weight < 1 || maxConcurrent < 1) {
      throw new IllegalArgumentException(
          "weight " + weight + " and maxConcurrent " + maxConcurrent + " must be at least 1");
    }
  }
}
