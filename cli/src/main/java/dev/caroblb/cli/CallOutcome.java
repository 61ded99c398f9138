package dev.caroblb.cli;

import com.fasterxml.jackson.databind.JsonNode;
import java.util.Locale;
import java.util.Optional;

/**
 * Outcome of a call.
 *
 * @param kind kind of outcome
 * @param reason reason sent by the entry, or the fault seen by the client; empty for a complete
 *     call
 */
record CallOutcome(Kind kind, String reason) {
  static final CallOutcome COMPLETE = new CallOutcome(Kind.COMPLETE, "");

  /** Kinds of outcomes. */
  enum Kind {
    /** The complete answer arrived. */
    COMPLETE,
    /** The entry responded with an error status. */
    REFUSED,
    /** The final event has a status other than complete. */
    INTERRUPTED,
    /** No request was sent: no connection, or too many calls running. */
    UNREACHABLE,
    /** The connection failed or timed out, or the stream had no final event. */
    LOST,
    /** Tokens were missing, repeated, after the end or from another generation. */
    WRONG;

    String wireName() {
      return name().toLowerCase(Locale.ROOT);
    }
  }

  /** Outcome of a call whose response is not an event stream. */
  static CallOutcome fromResponse(EntryResponse response) {
    if (response.status() < 400) {
      return COMPLETE;
    }
    Optional<JsonNode> json = Json.parseObject(response.body());
    String reason = json.map(node -> node.path("reason").asText()).orElse("");
    return new CallOutcome(Kind.REFUSED, reason.isEmpty() ? "status_" + response.status() : reason);
  }
}
