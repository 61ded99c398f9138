package dev.caroblb.forwarding;

import java.util.ArrayList;
import java.util.List;

/** Records the calls of the target port. */
final class RecordingTargets implements TargetPort {
  final List<AttemptOrder> sent = new ArrayList<>();
  final List<MoveOrder> moves = new ArrayList<>();
  final List<Integer> cancelled = new ArrayList<>();
  int acknowledged;

  AttemptOrder last() {
    return sent.get(sent.size() - 1);
  }

  @Override
  public void start(AttemptOrder order) {
    sent.add(order);
  }

  @Override
  public void cancel(long call, int attempt) {
    cancelled.add(attempt);
  }

  @Override
  public void acknowledge(long call, int attempt) {
    acknowledged++;
  }

  @Override
  public void move(MoveOrder order) {
    moves.add(order);
  }
}
