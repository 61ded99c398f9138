package dev.caroblb.idempotency;

import dev.caroblb.core.CallClass;
import dev.caroblb.core.CallPolicy;
import dev.caroblb.core.CallRequest;
import dev.caroblb.core.Payload;
import dev.caroblb.core.WorkspaceId;
import java.util.Optional;

/** Builds calls to a non-repeatable service. */
final class Calls {
  private static final CallPolicy POSTING =
      new CallPolicy(
          "posting",
          Optional.empty(),
          Optional.of("ledger"),
          false,
          5,
          10_000,
          false,
          false,
          CallClass.SHORT);

  private Calls() {}

  static CallRequest of(long id, Optional<String> key, String body, long deadlineMs) {
    return new CallRequest(
        id, new WorkspaceId("receipts"), POSTING, deadlineMs, key, Payload.ofText(body));
  }

  static String key(int number) {
    return KeyNode.WALL_MS + "-call-" + (1_000 + number);
  }
}
