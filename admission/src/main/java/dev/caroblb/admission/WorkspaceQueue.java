package dev.caroblb.admission;

import java.util.ArrayDeque;

/** Calls of one workspace that wait in one lane, with the workspace's deficit. */
final class WorkspaceQueue {
  final ArrayDeque<AdmittedCall> calls = new ArrayDeque<>();
  final int weight;
  double deficit;

  /** Calls taken from the queue that may come back to it. */
  int reserved;

  WorkspaceQueue(int weight) {
    this.weight = weight;
  }
}
