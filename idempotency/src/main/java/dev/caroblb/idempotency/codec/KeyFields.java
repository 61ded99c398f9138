package dev.caroblb.idempotency.codec;

import dev.caroblb.core.InstanceId;
import dev.caroblb.core.WorkspaceId;
import dev.caroblb.idempotency.Attempt;
import dev.caroblb.idempotency.CallKey;
import dev.caroblb.idempotency.Hash128;
import dev.caroblb.idempotency.KeyRefusal;
import dev.caroblb.idempotency.KeyResult;
import dev.caroblb.idempotency.StoredOutcome;
import dev.caroblb.transport.codec.BoundedReader;
import java.io.IOException;
import java.util.List;
import org.msgpack.core.MessagePacker;

/** Encoding of the structures that messages, commands and snapshots share. */
final class KeyFields {
  static final int MAX_NAME_BYTES = 63;

  /** The position in the list is the wire code; append only. */
  private static final List<KeyRefusal> REFUSALS =
      List.of(
          KeyRefusal.REUSED,
          KeyRefusal.EXPIRED,
          KeyRefusal.IN_FUTURE,
          KeyRefusal.FULL,
          KeyRefusal.ALREADY_RELEASED);

  private static final int KEY_FIELDS = 2;
  private static final int ATTEMPT_FIELDS = 3;
  private static final int OUTCOME_FIELDS = 4;

  private static final int RESULT_GRANTED = 1;
  private static final int RESULT_STORED = 2;
  private static final int RESULT_HELD = 3;
  private static final int RESULT_REFUSED = 4;
  private static final int RESULT_RECORDED = 5;
  private static final int RESULT_RELEASED = 6;
  private static final int RESULT_NOT_HOLDER = 7;

  private KeyFields() {}

  static void writeKey(MessagePacker out, CallKey key) throws IOException {
    out.packArrayHeader(KEY_FIELDS);
    out.packString(key.workspace().name());
    out.packString(key.text());
  }

  static CallKey key(BoundedReader in) throws IOException {
    return in.structure(
        KEY_FIELDS,
        f -> new CallKey(new WorkspaceId(f.text(MAX_NAME_BYTES)), f.text(CallKey.MAX_LENGTH)));
  }

  static void writeAttempt(MessagePacker out, Attempt attempt) throws IOException {
    out.packArrayHeader(ATTEMPT_FIELDS);
    out.packString(attempt.entry().name());
    out.packLong(attempt.incarnation());
    out.packLong(attempt.call());
  }

  static Attempt attempt(BoundedReader in) throws IOException {
    return in.structure(
        ATTEMPT_FIELDS,
        f -> new Attempt(new InstanceId(f.text(MAX_NAME_BYTES)), f.longValue(), f.longValue()));
  }

  static void writeHash(MessagePacker out, Hash128 hash) throws IOException {
    out.packArrayHeader(2);
    out.packLong(hash.high());
    out.packLong(hash.low());
  }

  static Hash128 hash(BoundedReader in) throws IOException {
    return in.structure(2, f -> new Hash128(f.longValue(), f.longValue()));
  }

  static void writeOutcome(MessagePacker out, StoredOutcome outcome) throws IOException {
    out.packArrayHeader(OUTCOME_FIELDS);
    out.packInt(outcome.status());
    out.packString(outcome.contentType());
    out.packBinaryHeader(outcome.body().size());
    out.writePayload(outcome.body().toBytes());
    out.packBoolean(outcome.complete());
  }

  static StoredOutcome outcome(BoundedReader in) throws IOException {
    return in.structure(
        OUTCOME_FIELDS,
        f ->
            new StoredOutcome(
                f.intValue(),
                f.text(StoredOutcome.MAX_CONTENT_TYPE_LENGTH),
                f.bytes(StoredOutcome.MAX_BODY_BYTES),
                f.flag()));
  }

  static void writeResult(MessagePacker out, KeyResult result) throws IOException {
    if (result instanceof KeyResult.Granted) {
      writeType(out, RESULT_GRANTED, 0);
    } else if (result instanceof KeyResult.Stored stored) {
      writeType(out, RESULT_STORED, 1);
      writeOutcome(out, stored.outcome());
    } else if (result instanceof KeyResult.Held held) {
      writeType(out, RESULT_HELD, 1);
      writeAttempt(out, held.holder());
    } else if (result instanceof KeyResult.Refused refused) {
      writeType(out, RESULT_REFUSED, 1);
      out.packInt(REFUSALS.indexOf(refused.reason()));
    } else if (result instanceof KeyResult.Recorded) {
      writeType(out, RESULT_RECORDED, 0);
    } else if (result instanceof KeyResult.Released) {
      writeType(out, RESULT_RELEASED, 0);
    } else if (result instanceof KeyResult.NotHolder) {
      writeType(out, RESULT_NOT_HOLDER, 0);
    }
  }

  static void writeType(MessagePacker out, int type, int fields) throws IOException {
    out.packArrayHeader(1 + fields);
    out.packInt(type);
  }

  static KeyResult result(BoundedReader in) throws IOException {
    return in.variant(new Results());
  }

  private static final class Results implements BoundedReader.Variants<KeyResult> {
    @Override
    public int fields(int type) {
      return switch (type) {
        case RESULT_GRANTED, RESULT_RECORDED, RESULT_RELEASED, RESULT_NOT_HOLDER -> 0;
        case RESULT_STORED, RESULT_HELD, RESULT_REFUSED -> 1;
        default -> -1;
      };
    }

    @Override
    public KeyResult read(int type, BoundedReader in) throws IOException {
      return switch (type) {
        case RESULT_GRANTED -> new KeyResult.Granted();
        case RESULT_STORED -> new KeyResult.Stored(outcome(in));
        case RESULT_HELD -> new KeyResult.Held(attempt(in));
        case RESULT_REFUSED -> new KeyResult.Refused(in.constant(REFUSALS));
        case RESULT_RECORDED -> new KeyResult.Recorded();
        case RESULT_RELEASED -> new KeyResult.Released();
        default -> new KeyResult.NotHolder();
      };
    }
  }
}
