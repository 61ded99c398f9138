package dev.caroblb.idempotency;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import dev.caroblb.core.InstanceId;
import dev.caroblb.core.Payload;
import dev.caroblb.core.WorkspaceId;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;

class KeyTableTest {
  private static final long NOW_MS = 1_800_000_000_000L;
  private static final Hash128 DIGEST = new Hash128(1, 2);
  private static final Attempt FIRST = attempt("e1", 1, 1);
  private static final Attempt SECOND = attempt("e2", 1, 1);
  private static final StoredOutcome OUTCOME =
      StoredOutcome.of(201, "application/json", Payload.ofText("posted"));
  private static final KeyResult GRANTED = new KeyResult.Granted();
  private static final KeyResult RELEASED = new KeyResult.Released();
  private static final KeyResult RECORDED = new KeyResult.Recorded();
  private static final KeyResult NOT_HOLDER = new KeyResult.NotHolder();

  private final KeyTable table = new KeyTable(new KeyLimits(3, 1_000));
  private final CallKey key = key("receipts", NOW_MS, "abcdefgh");

  private static Attempt attempt(String entry, long incarnation, long call) {
    return new Attempt(new InstanceId(entry), incarnation, call);
  }

  private static CallKey key(String workspace, long createdAtMs, String suffix) {
    return new CallKey(new WorkspaceId(workspace), createdAtMs + "-" + suffix);
  }

  private KeyResult reserve(CallKey reserved, Attempt attempt, Hash128 digest, long wallMs) {
    return table.apply(new KeyCommand.Reserve(reserved, attempt, digest, wallMs));
  }

  private KeyResult reserve(Attempt attempt) {
    return reserve(key, attempt, DIGEST, NOW_MS);
  }

  private KeyResult finish(Attempt attempt, StoredOutcome outcome) {
    return table.apply(new KeyCommand.RecordOutcome(key, attempt, outcome));
  }

  private KeyResult release(Attempt attempt) {
    return table.apply(new KeyCommand.Release(key, attempt));
  }

  private static KeyResult refused(KeyRefusal reason) {
    return new KeyResult.Refused(reason);
  }

  @Nested
  class Reserved {
    /** Guards against taking a resent request of the holder for a duplicate call. */
    @Test
    void isGrantedAgainToTheSameAttemptOnly() {
      assertEquals(GRANTED, reserve(FIRST));
      assertEquals(GRANTED, reserve(FIRST));
      assertEquals(new KeyResult.Held(FIRST), reserve(SECOND));
    }

    /** Guards against granting a restarted entry the reservation of its earlier incarnation. */
    @Test
    void isNotGrantedToALaterIncarnationOfTheEntry() {
      reserve(FIRST);
      assertEquals(new KeyResult.Held(FIRST), reserve(attempt("e1", 2, 1)));
    }

    /** Guards against returning the outcome of one call for a different call with the same key. */
    @Test
    void refusesAnotherDigest() {
      reserve(FIRST);
      assertEquals(refused(KeyRefusal.REUSED), reserve(key, SECOND, new Hash128(1, 3), NOW_MS));
    }

    /** Guards against returning the outcome of another workspace. */
    @Test
    void isScopedByWorkspace() {
      reserve(FIRST);
      assertEquals(GRANTED, reserve(key("staffing", NOW_MS, "abcdefgh"), SECOND, DIGEST, NOW_MS));
    }

    /** Guards against an attempt that releases or completes the reservation of another. */
    @Test
    void isChangedByItsHolderOnly() {
      reserve(FIRST);
      assertEquals(NOT_HOLDER, finish(SECOND, OUTCOME));
      assertEquals(NOT_HOLDER, release(SECOND));
      assertEquals(new KeyResult.Held(FIRST), reserve(SECOND));
    }
  }

  @Nested
  class Done {
    /** Guards against an outcome that changes or a call that runs again. */
    @Test
    void returnsTheFirstOutcomeUnchanged() {
      reserve(FIRST);
      assertEquals(RECORDED, finish(FIRST, OUTCOME));
      assertEquals(RECORDED, finish(FIRST, StoredOutcome.of(500, "", Payload.empty())));
      assertEquals(NOT_HOLDER, release(FIRST));
      assertEquals(new KeyResult.Stored(OUTCOME), reserve(SECOND));
    }

    /** Guards against unbounded memory for stored outcomes. */
    @Test
    void storesOnlyTheStatusBeyondTheLimits() {
      reserve(FIRST);
      finish(FIRST, StoredOutcome.of(200, "", Payload.copyOf(new byte[1_001])));
      StoredOutcome stored = ((KeyResult.Stored) reserve(SECOND)).outcome();
      assertFalse(stored.complete());
      assertEquals(200, stored.status());
      assertFalse(StoredOutcome.of(200, "", Payload.copyOf(new byte[64 * 1024 + 1])).complete());
    }
  }

  @Nested
  class Released {
    /** Guards against a key that stays unusable after its call was reported as not run. */
    @Test
    void canBeReservedByAnotherAttempt() {
      reserve(FIRST);
      assertEquals(RELEASED, release(FIRST));
      assertEquals(RELEASED, release(FIRST));
      assertEquals(GRANTED, reserve(SECOND));
      assertEquals(NOT_HOLDER, release(FIRST));
    }

    /** Guards against a delayed copy of a reservation that reserves the key after its release. */
    @Test
    void isNotGrantedToALateCopy() {
      reserve(key("staffing", NOW_MS, "abcdefgh"), SECOND, DIGEST, NOW_MS);
      assertEquals(RELEASED, release(FIRST));
      assertEquals(refused(KeyRefusal.ALREADY_RELEASED), reserve(FIRST));
      assertEquals(GRANTED, reserve(SECOND));
    }
  }

  @Nested
  class Time {
    private static final long DAY_MS = KeyTable.RETENTION_MS;

    /**
     * Guards against accepting a key whose record has expired, and against records that never
     * expire.
     */
    @Test
    void expiresRecordsTogetherWithTheirKeys() {
      reserve(FIRST);
      finish(FIRST, OUTCOME);
      long lastMs = NOW_MS + DAY_MS - 1;
      assertEquals(new KeyResult.Stored(OUTCOME), reserve(key, SECOND, DIGEST, lastMs));
      long laterMs = NOW_MS + DAY_MS + 3_600_000;
      assertEquals(refused(KeyRefusal.EXPIRED), reserve(key, SECOND, DIGEST, laterMs));
      assertEquals(0, table.records());
      assertEquals(0, table.outcomeBytes());
    }

    /** Guards against a clock that goes backwards and lets an expired call run again. */
    @Test
    void neverDecreases() {
      reserve(FIRST);
      reserve(key, SECOND, DIGEST, NOW_MS + 2 * DAY_MS);
      assertEquals(refused(KeyRefusal.EXPIRED), reserve(key, SECOND, DIGEST, NOW_MS));
      assertEquals(NOT_HOLDER, release(SECOND));
    }

    /** Guards against a key from the future, whose record would outlive the retention time. */
    @Test
    void refusesKeysFromTheFuture() {
      CallKey ahead = key("receipts", NOW_MS + 300_001, "abcdefgh");
      assertEquals(refused(KeyRefusal.IN_FUTURE), reserve(ahead, FIRST, DIGEST, NOW_MS));
    }
  }

  @Nested
  class Full {
    /** Guards against unbounded memory, and against a full table that drops records. */
    @Test
    void refusesNewKeysOnly() {
      for (int i = 0; i < 3; i++) {
        assertEquals(GRANTED, reserve(key("w" + i, NOW_MS, "abcdefgh"), FIRST, DIGEST, NOW_MS));
      }
      assertEquals(refused(KeyRefusal.FULL), reserve(FIRST));
      assertTrue(table.find(key("w0", NOW_MS, "abcdefgh")).isPresent());
    }
  }
}
