package dev.caroblb.agreement;

import dev.caroblb.core.Payload;
import dev.caroblb.core.StateMachine;
import java.util.ArrayList;
import java.util.List;

/** State machine that records the applied commands and compares them with a shared history. */
final class RecordingMachine implements StateMachine {
  private final List<String> applied = new ArrayList<>();
  private final List<String> history;

  /**
   * Creates a state machine for one replica.
   *
   * @param history commands that any replica has applied so far; compared and extended here
   */
  RecordingMachine(List<String> history) {
    this.history = history;
  }

  List<String> applied() {
    return applied;
  }

  @Override
  public Payload apply(Payload command) {
    add(command.text());
    return Payload.ofText("position " + applied.size());
  }

  @Override
  public Payload snapshot() {
    return Payload.ofText(String.join("\n", applied));
  }

  @Override
  public void restore(Payload snapshot) {
    applied.clear();
    if (snapshot.size() == 0) {
      return;
    }
    for (String command : snapshot.text().split("\n", -1)) {
      add(command);
    }
  }

  private void add(String command) {
    applied.add(command);
    if (applied.size() > history.size()) {
      history.add(command);
      return;
    }
    String expected = history.get(applied.size() - 1);
    if (!expected.equals(command)) {
      throw new AssertionError(
          "position "
              + applied.size()
              + " is "
              + command
              + " here but "
              + expected
              + " on another replica");
    }
  }
}
