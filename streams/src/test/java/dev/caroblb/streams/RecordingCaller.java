package dev.caroblb.streams;

import dev.caroblb.core.GenerationId;
import dev.caroblb.core.Outlet;
import dev.caroblb.core.RefusalReason;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Optional;
import java.util.Set;

/** A caller that records the events it accepts and can refuse to accept more. */
final class RecordingCaller implements Outlet<CallerEvent> {
  final List<CallerEvent> accepted = new ArrayList<>();
  boolean full;

  @Override
  public boolean offer(CallerEvent event) {
    return !full && accepted.add(event);
  }

  List<Long> sequences() {
    return tokens().stream().map(CallerEvent.Token::sequence).toList();
  }

  Set<GenerationId> generations() {
    Set<GenerationId> generations = new HashSet<>();
    tokens().forEach(token -> generations.add(token.generation()));
    return generations;
  }

  private List<CallerEvent.Token> tokens() {
    return accepted.stream()
        .filter(CallerEvent.Token.class::isInstance)
        .map(CallerEvent.Token.class::cast)
        .toList();
  }

  List<CallerEvent> finals() {
    return accepted.stream().filter(event -> !(event instanceof CallerEvent.Token)).toList();
  }

  /** Reason of the only final event, when it is a refusal or an interruption. */
  Optional<RefusalReason> reason() {
    List<CallerEvent> finals = finals();
    if (finals.size() != 1) {
      throw new AssertionError("expected one final event, got " + finals);
    }
    if (finals.get(0) instanceof CallerEvent.Refused refused) {
      return Optional.of(refused.refusal().reason());
    }
    return finals.get(0) instanceof CallerEvent.Interrupted interrupted
        ? Optional.of(interrupted.refusal().reason())
        : Optional.empty();
  }
}
