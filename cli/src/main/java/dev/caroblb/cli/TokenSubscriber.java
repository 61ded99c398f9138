package dev.caroblb.cli;

import com.fasterxml.jackson.databind.JsonNode;
import java.util.Optional;
import java.util.concurrent.Flow;

/**
 * Parses the event stream of one call line by line, records token latencies and checks that the
 * tokens are consecutive and of one generation.
 */
final class TokenSubscriber implements Flow.Subscriber<String> {
  private final LoadStatistics statistics;
  private String event = "";
  private String id = "";
  private String data = "";
  private String generation = "";
  private long sequence;
  private long lastTokenNanos;
  private Optional<CallOutcome> outcome = Optional.empty();
  private boolean firstToken = true;

  /**
   * @param scheduledNanos scheduled start of the call
   */
  TokenSubscriber(LoadStatistics statistics, long scheduledNanos) {
    this.statistics = statistics;
    this.lastTokenNanos = scheduledNanos;
  }

  /** Outcome of the call; a stream without a final event counts as lost. */
  CallOutcome outcome() {
    return outcome.orElse(new CallOutcome(CallOutcome.Kind.LOST, "no_final_event"));
  }

  @Override
  public void onSubscribe(Flow.Subscription subscription) {
    subscription.request(Long.MAX_VALUE);
  }

  @Override
  public void onNext(String line) {
    if (line.isEmpty()) {
      dispatchEvent();
      return;
    }
    int colon = line.indexOf(':');
    if (colon <= 0) {
      return;
    }
    String value = line.substring(colon + 1).strip();
    switch (line.substring(0, colon)) {
      case "event" -> event = value;
      case "id" -> id = value;
      case "data" -> data = data.isEmpty() ? value : data + "\n" + value;
      default -> {}
    }
  }

  private void dispatchEvent() {
    if (event.equals("token")) {
      onToken(System.nanoTime());
    } else if (event.equals("final")) {
      onFinalEvent();
    }
    event = "";
    id = "";
    data = "";
  }

  private void onToken(long nowNanos) {
    checkOrder();
    long elapsed = nowNanos - lastTokenNanos;
    if (firstToken) {
      statistics.recordTimeToFirstToken(elapsed);
    } else {
      statistics.recordTokenGap(elapsed);
    }
    firstToken = false;
    lastTokenNanos = nowNanos;
  }

  private void checkOrder() {
    int slash = id.lastIndexOf('/');
    String tokenGeneration = slash < 0 ? id : id.substring(0, slash);
    Optional<Long> number = slash < 0 ? Optional.empty() : parseNumber(id.substring(slash + 1));
    if (firstToken) {
      generation = tokenGeneration;
      sequence = number.orElse(0L) - 1;
    }
    boolean consecutive =
        number.equals(Optional.of(sequence + 1)) && tokenGeneration.equals(generation);
    if (!consecutive || outcome.isPresent()) {
      recordFault("token_out_of_order");
    }
    sequence = number.orElse(sequence);
  }

  /** Marks the stream as wrong; the first fault is kept as the reason. */
  private void recordFault(String reason) {
    if (outcome.isEmpty() || outcome.get().kind() != CallOutcome.Kind.WRONG) {
      outcome = Optional.of(new CallOutcome(CallOutcome.Kind.WRONG, reason));
    }
  }

  private static Optional<Long> parseNumber(String text) {
    try {
      return Optional.of(Long.valueOf(text));
    } catch (NumberFormatException e) {
      return Optional.empty();
    }
  }

  private void onFinalEvent() {
    if (outcome.isPresent()) {
      recordFault("second_end");
      return;
    }
    Optional<JsonNode> json = Json.parseObject(data);
    String status = json.map(node -> node.path("status").asText()).orElse("");
    if (status.equals("complete")) {
      outcome = Optional.of(CallOutcome.COMPLETE);
      return;
    }
    String reason = json.map(node -> node.path("reason").asText()).orElse("");
    outcome =
        Optional.of(
            new CallOutcome(CallOutcome.Kind.INTERRUPTED, reason.isEmpty() ? status : reason));
  }

  @Override
  public void onError(Throwable error) {
    // LoadGenerator handles it: the future of the request fails with the same error.
  }

  @Override
  public void onComplete() {}
}
