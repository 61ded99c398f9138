package dev.caroblb.callers;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.function.Consumer;

/** Accepts orders for one failure domain; names a leader for orders that withdraw. */
final class FixedEvacuations implements EvacuationSink {
  static final String DOMAIN = "domain-1";

  final List<String> orders = new ArrayList<>();
  boolean full;

  @Override
  public boolean knows(String domain) {
    return domain.equals(DOMAIN);
  }

  @Override
  public boolean order(String domain, boolean begin, Consumer<Answer> reply) {
    if (full) {
      return false;
    }
    orders.add((begin ? "begin " : "end ") + domain);
    reply.accept(
        begin
            ? new Answer(Optional.of(new State(4, List.of(domain))), Optional.empty())
            : new Answer(Optional.empty(), Optional.of("replica-2")));
    return true;
  }
}
