package dev.caroblb.admission;

import java.util.ArrayDeque;

/** Waiting calls of one workspace in one lane, and its deficit in the round robin. */
final class WorkspaceQueue {
  final ArrayDeque<AdmittedCall> calls = new ArrayDeque<>();
  final int weight;
  double deficit;

  /** Calls taken from the queue that may return to it; they count towards the queue bound. */
  int reserved;

  WorkspaceQueue(int weight) {
    this.weight = weight;
  }
}
