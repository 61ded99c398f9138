package dev.caroblb.admission;

/**
 * What a workspace is entitled to at this entry instance.
 *
 * @param weight share of the room relative to other workspaces that wait
 * @param maxConcurrent calls that may wait or run at once
 */
public record WorkspaceShare(int weight, int maxConcurrent) {
  public WorkspaceShare {
    if (weight < 1 || maxConcurrent < 1) {
      throw new IllegalArgumentException(
          "weight " + weight + " and maxConcurrent " + maxConcurrent + " must be at least 1");
    }
  }
}
