package dev.caroblb.daemon;

import dev.caroblb.core.Duty;
import dev.caroblb.core.DutyHandler;
import dev.caroblb.core.MillisClock;
import java.util.ArrayList;
import java.util.List;

/** Creates the duties of an instance and starts and stops them together. */
final class DutyRegistry implements AutoCloseable {
  private static final int RING_CAPACITY = 16_384;

  private final MillisClock clock;
  private final List<Duty<?>> duties = new ArrayList<>();

  DutyRegistry(MillisClock clock) {
    this.clock = clock;
  }

  MillisClock clock() {
    return clock;
  }

  <M> Duty<M> create(String name, DutyHandler<M> handler) {
    Duty<M> duty = new Duty<>(name, RING_CAPACITY, handler, clock);
    duties.add(duty);
    return duty;
  }

  List<Duty<?>> all() {
    return List.copyOf(duties);
  }

  void start() {
    duties.forEach(Duty::start);
  }

  @Override
  public void close() {
    duties.forEach(Duty::close);
  }
}
