package dev.caroblb.cli;

import com.fasterxml.jackson.databind.JsonNode;
import java.util.Optional;
import java.util.concurrent.Flow;

/**
 * Reads the event stream of one call line by line, records the times of its tokens and checks that
 * they are consecutive and from one generation.
 */
final class TokenSubscriber implements Flow.Subscriber<String> {
  private final LoadReport report;
  private String event = "";
  private String id = "";
  private String data = "";
  private String generation = "";
  private long sequence;
  private long lastTokenNanos;
  private Optional<CallEnd> end = Optional.empty();
  private boolean firstToken = true;

  /**
   * @param startNanos time at which the call was due
   */
  TokenSubscriber(LoadReport report, long startNanos) {
    this.report = report;
    this.lastTokenNanos = startNanos;
  }

  /** The end of the call; a stream without a final event is lost. */
  CallEnd end() {
    return end.orElse(new CallEnd(CallEnd.Kind.LOST, "no_final_event"));
  }

  @Override
  public void onSubscribe(Flow.Subscription subscription) {
    subscription.request(Long.MAX_VALUE);
  }

  @Override
  public void onNext(String line) {
    if (line.isEmpty()) {
      dispatch();
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

  private void dispatch() {
    if (event.equals("token")) {
      token(System.nanoTime());
    } else if (event.equals("final")) {
      finalEvent();
    }
    event = "";
    id = "";
    data = "";
  }

  private void token(long nowNanos) {
    checkOrder();
    long elapsed = nowNanos - lastTokenNanos;
    if (firstToken) {
      report.firstToken(elapsed);
    } else {
      report.nextToken(elapsed);
    }
    firstToken = false;
    lastTokenNanos = nowNanos;
  }

  private void checkOrder() {
    int slash = id.lastIndexOf('/');
    String tokenGeneration = slash < 0 ? id : id.substring(0, slash);
    Optional<Long> number = slash < 0 ? Optional.empty() : number(id.substring(slash + 1));
    if (firstToken) {
      generation = tokenGeneration;
      sequence = number.orElse(0L) - 1;
    }
    boolean consecutive =
        number.equals(Optional.of(sequence + 1)) && tokenGeneration.equals(generation);
    if (!consecutive || end.isPresent()) {
      wrong("token_out_of_order");
    }
    sequence = number.orElse(sequence);
  }

  /** Keeps the first fault of the stream. */
  private void wrong(String reason) {
    if (end.isEmpty() || end.get().kind() != CallEnd.Kind.WRONG) {
      end = Optional.of(new CallEnd(CallEnd.Kind.WRONG, reason));
    }
  }

  private static Optional<Long> number(String text) {
    try {
      return Optional.of(Long.valueOf(text));
    } catch (NumberFormatException e) {
      return Optional.empty();
    }
  }

  private void finalEvent() {
    if (end.isPresent()) {
      wrong("second_end");
      return;
    }
    Optional<JsonNode> json = Json.object(data);
    String status = json.map(node -> node.path("status").asText()).orElse("");
    if (status.equals("complete")) {
      end = Optional.of(CallEnd.COMPLETE);
      return;
    }
    String reason = json.map(node -> node.path("reason").asText()).orElse("");
    end = Optional.of(new CallEnd(CallEnd.Kind.INTERRUPTED, reason.isEmpty() ? status : reason));
  }

  @Override
  public void onError(Throwable error) {
    // The future of the request fails with the same error.
  }

  @Override
  public void onComplete() {}
}
