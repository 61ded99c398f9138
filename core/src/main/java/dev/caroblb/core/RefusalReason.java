package dev.caroblb.core;

import java.util.Locale;

/** Reasons for which a call does not complete, each with HTTP status and remedy for the caller. */
public enum RefusalReason {
  MALFORMED(RefusalKind.NOT_RUN, 400, "correct the request as the message says"),
  UNAUTHENTICATED(RefusalKind.NOT_RUN, 401, "send the token of the workspace or operator"),
  UNKNOWN_WORKSPACE(RefusalKind.NOT_RUN, 404, "publish a team file that names the workspace"),
  UNKNOWN_CALL(RefusalKind.NOT_RUN, 404, "publish a team file that names the call"),
  UNKNOWN_ROUTE(RefusalKind.NOT_RUN, 404, "publish a route for the host and path"),
  UNKNOWN_KEY(RefusalKind.NOT_RUN, 401, "send a key that a workspace holds"),
  NO_CONFIGURATION(RefusalKind.NOT_RUN, 503, "use another entry instance"),
  UNKNOWN_GENERATION(RefusalKind.INTERRUPTED, 404, "send the call again as a new one"),
  BODY_TOO_LARGE(RefusalKind.NOT_RUN, 413, "send a smaller body"),
  KEY_REQUIRED(RefusalKind.NOT_RUN, 400, "send an Idempotency-Key header"),
  KEY_EXPIRED(RefusalKind.NOT_RUN, 400, "check the call with its target, then use a new key"),
  KEY_REUSED(RefusalKind.NOT_RUN, 422, "use a new key for a call with other contents"),
  KEY_CAPACITY(RefusalKind.NOT_RUN, 503, "send the call again later"),
  KEY_UNAVAILABLE(RefusalKind.NOT_RUN, 503, "send the call again with the same key"),
  CONFIGURATION_LEASE_EXPIRED(RefusalKind.NOT_RUN, 503, "use another entry instance"),
  DRAINING(RefusalKind.NOT_RUN, 503, "ask for entry addresses and use another one"),
  BACKLOG_FULL(RefusalKind.NOT_RUN, 503, "send the call again after the time given"),
  WORKSPACE_LIMIT(RefusalKind.NOT_RUN, 429, "send fewer calls at once"),
  STREAM_LIMIT(RefusalKind.NOT_RUN, 503, "use another entry instance"),
  MEMORY_LIMIT(RefusalKind.NOT_RUN, 503, "send the call again after the time given"),
  RING_FULL(RefusalKind.NOT_RUN, 503, "send the call again after the time given"),
  NO_TARGET(RefusalKind.NOT_RUN, 503, "send the call again when a target has announced itself"),
  NOT_RESUMABLE(RefusalKind.NOT_RUN, 503, "send the call again from its start"),
  DEADLINE_BEFORE_START(RefusalKind.NOT_RUN, 504, "allow a later deadline"),
  PROMPT_QUARANTINED(
      RefusalKind.NOT_RUN, 503, "leave out the part, or send the call again after the time given"),
  TARGET_UNREACHABLE(RefusalKind.NOT_RUN, 503, "send the call again"),
  TARGET_REFUSED(RefusalKind.NOT_RUN, 503, "send the call again after the time given"),
  DEADLINE_AFTER_START(RefusalKind.OUTCOME_UNKNOWN, 504, "check the call with its target"),
  CONNECTION_LOST(RefusalKind.OUTCOME_UNKNOWN, 502, "check the call with its target"),
  ALREADY_RESERVED(RefusalKind.OUTCOME_UNKNOWN, 409, "check the call with its target"),
  TARGET_LOST(RefusalKind.INTERRUPTED, 502, "send the call again as a new one"),
  TARGET_STALLED(RefusalKind.INTERRUPTED, 504, "resume the generation or send the call again"),
  CALLER_STALLED(RefusalKind.INTERRUPTED, 408, "resume the generation and read faster"),
  STOPPING(RefusalKind.INTERRUPTED, 503, "resume the generation at another entry instance"),
  INTERNAL(RefusalKind.OUTCOME_UNKNOWN, 500, "check the call with its target");

  private final RefusalKind kind;
  private final int httpStatus;
  private final String remedy;

  RefusalReason(RefusalKind kind, int httpStatus, String remedy) {
    this.kind = kind;
    this.httpStatus = httpStatus;
    this.remedy = remedy;
  }

  public RefusalKind kind() {
    return kind;
  }

  public int httpStatus() {
    return httpStatus;
  }

  public String remedy() {
    return remedy;
  }

  public String wireName() {
    return name().toLowerCase(Locale.ROOT);
  }
}
