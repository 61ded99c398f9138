package dev.caroblb.scheduling;

import java.util.HashMap;
import java.util.Map;

/**
 * Weighted fair sharing of expected tokens among workspaces by start-time fair queueing: a request
 * gets a virtual start tag, the later of the virtual time and the end of the previous request of
 * its workspace, and requests are served by their start tags. The virtual time is the largest start
 * tag that was served. Costs do not depend on the number of workspaces.
 */
final class FairShares {
  /** Number of workspaces from which those without backlog are forgotten. */
  private static final int MAX_WORKSPACES = 1_024;

  private final Map<String, Double> finishTags = new HashMap<>();
  private final Map<String, Double> weights = new HashMap<>();
  private double virtualTime;

  /** Sets the weight of a workspace; others have the weight 1. */
  void setWeight(String workspace, double weight) {
    weights.put(workspace, weight);
  }

  /** Returns the start tag of a request that arrives. */
  double arrived(String workspace, long tokens) {
    double start = Math.max(virtualTime, finishTags.getOrDefault(workspace, 0.0));
    if (finishTags.size() >= MAX_WORKSPACES) {
      finishTags.values().removeIf(finish -> finish <= virtualTime);
    }
    finishTags.put(workspace, start + cost(workspace, tokens));
    return start;
  }

  /** Takes back the cost of a request that gets no room. */
  void withdrawn(String workspace, long tokens) {
    finishTags.computeIfPresent(workspace, (name, finish) -> finish - cost(workspace, tokens));
  }

  /** Records that a request got room. */
  void served(double startTag) {
    virtualTime = Math.max(virtualTime, startTag);
  }

  /** Starts anew after a time without queued requests, in which shares do not matter. */
  void idle() {
    finishTags.clear();
  }

  private double cost(String workspace, long tokens) {
    return tokens / weights.getOrDefault(workspace, 1.0);
  }
}
