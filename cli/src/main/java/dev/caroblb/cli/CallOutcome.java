package dev.caroblb.cli;

import com.fasterxml.jackson.databind.JsonNode;
import java.util.Locale;
import java.util.Optional;

/**
 * How a call ended.
 *
 * @param kind kind of end
 * @param reason reason that the entry gave, or what went wrong; empty for a complete call
 */
record CallOutcome(Kind kind, String reason) {
  static final CallOutcome COMPLETE = new CallOutcome(Kind.COMPLETE, "");

  /** Kinds of ends. */
  enum Kind {
    /** The whole answer arrived. */
    COMPLETE,
    /** The entry said why there is no answer. */
    REFUSED,
    /** The stream ended early with a final event. */
    INTERRUPTED,
    /** No connection was made, so nothing was sent. */
    UNREACHABLE,
    /** The connection ended without an answer or a final event. */
    LOST,
    /** Tokens were missing, repeated or from another generation. */
    WRONG;

    String wireName() {
      return name().toLowerCase(Locale.ROOT);
    }
  }

  /** End of a call with an answer that is no event stream. */
  static CallOutcome fromResponse(EntryResponse answer) {
    if (answer.status() < 400) {
      return COMPLETE;
    }
    Optional<JsonNode> json = Json.parseObject(answer.body());
    String reason = json.map(node -> node.path("reason").asText()).orElse("");
    return new CallOutcome(Kind.REFUSED, reason.isEmpty() ? "status_" + answer.status() : reason);
  }
}
