package dev.caroblb.admission;

import dev.caroblb.core.WorkspaceId;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;

/**
 * Queue of the calls of one class for one model or service. Workspaces are served by deficit round
 * robin: each turn adds the weight of the workspace to its deficit, and each call takes the average
 * cost of the workspace's calls from it.
 */
final class Lane {
  // Weight of one call in the moving averages of the answer length.
  private static final double AVERAGE_WEIGHT = 0.05;
  private static final double MIN_COST = 0.25;
  private static final double MAX_COST = 4;

  private final int queueBound;
  private final Map<WorkspaceId, WorkspaceQueue> queues = new HashMap<>();
  private final ArrayDeque<WorkspaceId> turns = new ArrayDeque<>();
  private final Map<WorkspaceId, Double> averageTokensByWorkspace = new HashMap<>();
  private double averageTokens;
  private int size;
  private int awaitingPlacement;

  // Calls that may await placement at once: 1 after a call was not placed, doubled with each one
  // that was.
  private int maxAwaiting = Integer.MAX_VALUE / 2;
  private boolean blocked;
  private long blockedSinceMs;

  Lane(int queueBound) {
    this.queueBound = queueBound;
  }

  /** Appends a call to the queue of its workspace; false when the queue is full. */
  boolean add(AdmittedCall call) {
    WorkspaceQueue queue = queue(call);
    if (queue.calls.size() + queue.reserved >= queueBound) {
      return false;
    }
    queue.calls.addLast(call);
    size++;
    return true;
  }

  /** Puts a call that was not placed or is retried at the front of its queue, even a full one. */
  void putBack(AdmittedCall call) {
    releaseReservation(call);
    WorkspaceQueue queue = queue(call);
    queue.calls.addFirst(call);
    queue.deficit += cost(call.request.workspace());
    size++;
  }

  /** Stops counting a call that was taken from its queue towards the queue bound. */
  void releaseReservation(AdmittedCall call) {
    if (call.reserved) {
      call.reserved = false;
      queue(call).reserved--;
    }
  }

  private WorkspaceQueue queue(AdmittedCall call) {
    WorkspaceId workspace = call.request.workspace();
    WorkspaceQueue existing = queues.get(workspace);
    if (existing != null) {
      return existing;
    }
    WorkspaceQueue created = new WorkspaceQueue(call.share.weight());
    queues.put(workspace, created);
    turns.addLast(workspace);
    return created;
  }

  /** Takes the next call by deficit round robin. */
  Optional<AdmittedCall> next() {
    while (size > 0) {
      WorkspaceId workspace = turns.peekFirst();
      WorkspaceQueue queue = queues.get(workspace);
      if (queue.calls.isEmpty()) {
        turns.removeFirst();
        endTurn(workspace, queue);
        continue;
      }
      double cost = cost(workspace);
      if (queue.deficit >= cost) {
        queue.deficit -= cost;
        size--;
        AdmittedCall call = queue.calls.removeFirst();
        call.reserved = true;
        queue.reserved++;
        return Optional.of(call);
      }
      queue.deficit += queue.weight;
      turns.addLast(turns.removeFirst());
    }
    return Optional.empty();
  }

  private void endTurn(WorkspaceId workspace, WorkspaceQueue queue) {
    queue.deficit = 0;
    if (queue.reserved > 0) {
      turns.addLast(workspace);
      return;
    }
    queues.remove(workspace);
  }

  private double cost(WorkspaceId workspace) {
    Double tokens = averageTokensByWorkspace.get(workspace);
    if (tokens == null || averageTokens <= 0) {
      return 1;
    }
    return Math.max(MIN_COST, Math.min(MAX_COST, tokens / averageTokens));
  }

  /** Records the length of an answer, so that shares are measured in tokens, not in calls. */
  void ended(WorkspaceId workspace, int tokens) {
    averageTokensByWorkspace.merge(
        workspace, (double) tokens, (old, latest) -> old + AVERAGE_WEIGHT * (latest - old));
    averageTokens =
        averageTokens == 0 ? tokens : averageTokens + AVERAGE_WEIGHT * (tokens - averageTokens);
  }

  /** Removes the calls whose deadline passed. */
  List<AdmittedCall> removeExpired(long nowMs) {
    List<AdmittedCall> expired = new ArrayList<>();
    for (WorkspaceQueue queue : queues.values()) {
      queue.calls.removeIf(call -> call.expired(nowMs) && expired.add(call));
    }
    size -= expired.size();
    return expired;
  }

  boolean remove(AdmittedCall call) {
    WorkspaceQueue queue = queues.get(call.request.workspace());
    boolean removed = queue != null && queue.calls.remove(call);
    size -= removed ? 1 : 0;
    return removed;
  }

  void addAwaitingPlacement(int change) {
    awaitingPlacement += change;
  }

  /** Whether a waiting call may be offered to placement now. */
  boolean ready(int maxOutstanding) {
    return size > 0 && !blocked && awaitingPlacement < Math.min(maxAwaiting, maxOutstanding);
  }

  void block(long nowMs) {
    blockedSinceMs = blocked || blockedSinceMs > 0 ? blockedSinceMs : nowMs;
    blocked = true;
    maxAwaiting = 1;
  }

  void unblock() {
    blocked = false;
  }

  /** Records that a call of the lane was placed. */
  void placed() {
    blockedSinceMs = 0;
    maxAwaiting = Math.min(maxAwaiting, Integer.MAX_VALUE / 4) * 2;
  }

  /** Whether calls wait and none was placed for longer than the limit. */
  boolean starved(long limitMs, long nowMs) {
    return size > 0 && blockedSinceMs > 0 && nowMs - blockedSinceMs > limitMs;
  }

  /** Number of calls without a target, including those that await placement. */
  int unplaced() {
    return size + awaitingPlacement;
  }

  int size() {
    return size;
  }
}
