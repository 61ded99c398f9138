package dev.caroblb.cli;

import com.fasterxml.jackson.databind.JsonNode;
import dev.caroblb.core.MillisClock;
import io.vavr.control.Either;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.TimeUnit;

/**
 * Sends a publish until an entry returns a final answer. Publishing is idempotent: for the same
 * number, request ID and files every entry returns the recorded answer. A publish whose answer was
 * lost is therefore retried unchanged.
 */
final class Publisher {
  private static final String PATH = "/v1/publishes";
  private static final long RETRY_PAUSE_MS = 200;
  private static final int FIRST_SERVER_ERROR = 500;
  private static final int TOO_MANY_REQUESTS = 429;

  private final EntryClient client;
  private final List<EntryAddress> entries;
  private final MillisClock clock;
  private final Console console;

  Publisher(EntryClient client, List<EntryAddress> entries, MillisClock clock, Console console) {
    this.client = client;
    this.entries = entries;
    this.clock = clock;
    this.console = console;
  }

  ExitCode publish(PublishRequest request, long timeoutMs) throws InterruptedException {
    String body = Json.write(request);
    long deadlineMs = clock.nowMs() + timeoutMs;
    Optional<PublishAnswer> accepted = Optional.empty();
    for (int attempt = 0; attempt == 0 || clock.nowMs() < deadlineMs; attempt++) {
      EntryAddress entry = entries.get(attempt % entries.size());
      Either<String, EntryResponse> response = client.post(entry, PATH, body);
      Optional<PublishAnswer> answer =
          response.toJavaOptional().flatMap(reply -> PublishAnswer.parse(reply.body()));
      if (answer.isPresent() && answer.get().outcome() != PublishAnswer.Outcome.ACCEPTED) {
        answer.get().print(console);
        return answer.get().success() ? ExitCode.DONE : ExitCode.REFUSED;
      }
      if (answer.isPresent()) {
        accepted = answer;
      } else if (response.isRight() && !isRetryable(response.get())) {
        console.printError("refused by " + entry + ": " + describe(response.get()));
        return ExitCode.REFUSED;
      } else {
        console.printError(response.fold(error -> error, reply -> entry + ": " + describe(reply)));
      }
      pause(attempt, accepted.isPresent());
    }
    return reportTimeout(request, accepted);
  }

  /** Pauses after each round of entries, and after each attempt once the publish is accepted. */
  private void pause(int attempt, boolean accepted) throws InterruptedException {
    if (accepted || (attempt + 1) % entries.size() == 0) {
      TimeUnit.MILLISECONDS.sleep(RETRY_PAUSE_MS);
    }
  }

  private ExitCode reportTimeout(PublishRequest request, Optional<PublishAnswer> accepted) {
    if (accepted.isPresent()) {
      accepted.get().print(console);
      console.printError(
          "accepted, but not confirmed to be in force at every entry before the time limit");
      return ExitCode.DONE;
    }
    console.printError(
        "outcome unknown; publish the same files again with --number "
            + request.number()
            + " --request "
            + request.request());
    return ExitCode.UNKNOWN;
  }

  private static boolean isRetryable(EntryResponse response) {
    return response.status() >= FIRST_SERVER_ERROR || response.status() == TOO_MANY_REQUESTS;
  }

  private static String describe(EntryResponse response) {
    Optional<JsonNode> json = Json.parseObject(response.body());
    if (json.isEmpty()) {
      return "status " + response.status();
    }
    return "status "
        + response.status()
        + ", "
        + json.get().path("reason").asText("no reason")
        + ": "
        + json.get().path("message").asText();
  }
}
