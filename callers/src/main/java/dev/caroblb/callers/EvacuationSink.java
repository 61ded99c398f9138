package dev.caroblb.callers;

import java.util.List;
import java.util.Optional;
import java.util.function.Consumer;

/** Accepts orders to evacuate failure domains. */
public interface EvacuationSink {
  /** Whether the settings name a failure domain. */
  boolean knows(String domain);

  /**
   * Submits an order; returns false, without effect, if the queue is full.
   *
   * @param begin whether the order begins the evacuation or withdraws it
   */
  boolean order(String domain, boolean begin, Consumer<Answer> reply);

  /** The state that an accepted order resulted in. */
  record State(long revision, List<String> evacuated) {
    public State {
      evacuated = List.copyOf(evacuated);
    }
  }

  /**
   * Outcome of an order.
   *
   * @param state the resulting state; empty if the outcome is unknown, or nothing was done
   * @param leader instance that can accept the order, if this one cannot and knows it
   */
  record Answer(Optional<State> state, Optional<String> leader) {}
}
