package dev.caroblb.cli;

import com.fasterxml.jackson.databind.JsonNode;
import java.util.ArrayList;
import java.util.List;
import java.util.Locale;
import java.util.Optional;

/** Answer of an entry to a publish. */
record PublishAnswer(
    long number, Outcome outcome, String winner, String message, List<FileResult> files) {
  /** Outcome of the publish, named as on the wire. */
  enum Outcome {
    IN_FORCE,
    ACCEPTED,
    CONFLICT,
    REFUSED;

    String wireName() {
      return name().toLowerCase(Locale.ROOT);
    }

    static Optional<Outcome> of(String wireName) {
      for (Outcome outcome : values()) {
        if (outcome.wireName().equals(wireName)) {
          return Optional.of(outcome);
        }
      }
      return Optional.empty();
    }
  }

  /** Outcome of one file, with its validation errors. */
  record FileResult(String name, String outcome, List<String> errors) {
    String line() {
      return errors.isEmpty()
          ? outcome + " " + name
          : outcome + " " + name + ": " + String.join("; ", errors);
    }
  }

  PublishAnswer {
    files = List.copyOf(files);
  }

  /** Parses a response body; empty when it is not an answer to a publish. */
  static Optional<PublishAnswer> parse(String text) {
    Optional<JsonNode> json = Json.parseObject(text);
    Optional<Outcome> outcome = json.flatMap(node -> Outcome.of(node.path("outcome").asText()));
    if (outcome.isEmpty()) {
      return Optional.empty();
    }
    JsonNode node = json.get();
    List<FileResult> files = new ArrayList<>();
    for (JsonNode file : node.path("files")) {
      List<String> errors = new ArrayList<>();
      file.path("errors").forEach(error -> errors.add(error.asText()));
      files.add(new FileResult(file.path("name").asText(), file.path("outcome").asText(), errors));
    }
    return Optional.of(
        new PublishAnswer(
            node.path("number").asLong(),
            outcome.get(),
            node.hasNonNull("winner") ? node.get("winner").toString() : "",
            node.path("message").asText(),
            files));
  }

  boolean success() {
    return outcome == Outcome.IN_FORCE || outcome == Outcome.ACCEPTED;
  }

  void print(Console console) {
    files.forEach(file -> console.print(file.line()));
    String line = "number=" + number + " outcome=" + outcome.wireName();
    console.print(message.isEmpty() ? line : line + " message=\"" + message + "\"");
    if (!winner.isEmpty()) {
      console.print("winner: " + winner);
    }
  }
}
