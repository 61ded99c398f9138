package dev.caroblb.idempotency.codec;

import dev.caroblb.core.InstanceId;
import dev.caroblb.core.MessageCodec;
import dev.caroblb.core.Payload;
import dev.caroblb.idempotency.KeyMessage;
import dev.caroblb.transport.codec.BoundedReader;
import dev.caroblb.transport.codec.Packing;
import java.io.IOException;
import java.util.List;
import java.util.Optional;
import org.msgpack.core.MessagePacker;

/** Encodes each message as an array {@code [type, field, ...]}; later versions append fields. */
public final class KeyMessageCodec implements MessageCodec<KeyMessage> {
  /** The position in the list is the wire code; append only. */
  private static final List<KeyMessage.Operation> OPERATIONS =
      List.of(
          KeyMessage.Operation.RESERVE, KeyMessage.Operation.RECORD, KeyMessage.Operation.RELEASE);

  private static final int TYPE_RESERVE = 1;
  private static final int TYPE_RECORD = 2;
  private static final int TYPE_RELEASE = 3;
  private static final int TYPE_ANSWER = 4;
  private static final int TYPE_WAITING = 5;
  private static final int TYPE_NOT_LEADER = 6;

  @Override
  public Payload encode(KeyMessage message) {
    return Packing.pack(out -> write(out, message));
  }

  private static void write(MessagePacker out, KeyMessage message) throws IOException {
    if (message instanceof KeyMessage.Reserve reserve) {
      KeyFields.writeType(out, TYPE_RESERVE, 4);
      KeyFields.writeKey(out, reserve.key());
      KeyFields.writeAttempt(out, reserve.attempt());
      KeyFields.writeHash(out, reserve.digest());
      out.packLong(reserve.waitMs());
    } else if (message instanceof KeyMessage.RecordOutcome recordOutcome) {
      KeyFields.writeType(out, TYPE_RECORD, 3);
      KeyFields.writeKey(out, recordOutcome.key());
      KeyFields.writeAttempt(out, recordOutcome.attempt());
      KeyFields.writeOutcome(out, recordOutcome.outcome());
    } else if (message instanceof KeyMessage.Release release) {
      KeyFields.writeType(out, TYPE_RELEASE, 2);
      KeyFields.writeKey(out, release.key());
      KeyFields.writeAttempt(out, release.attempt());
    } else if (message instanceof KeyMessage.Answer answer) {
      KeyFields.writeType(out, TYPE_ANSWER, 3);
      KeyFields.writeAttempt(out, answer.attempt());
      out.packInt(OPERATIONS.indexOf(answer.operation()));
      KeyFields.writeResult(out, answer.result());
    } else if (message instanceof KeyMessage.Waiting waiting) {
      KeyFields.writeType(out, TYPE_WAITING, 1);
      KeyFields.writeAttempt(out, waiting.attempt());
    } else if (message instanceof KeyMessage.NotLeader notLeader) {
      writeNotLeader(out, notLeader);
    }
  }

  private static void writeNotLeader(MessagePacker out, KeyMessage.NotLeader notLeader)
      throws IOException {
    KeyFields.writeType(out, TYPE_NOT_LEADER, 3);
    KeyFields.writeAttempt(out, notLeader.attempt());
    out.packInt(OPERATIONS.indexOf(notLeader.operation()));
    out.packArrayHeader(notLeader.leader().isPresent() ? 1 : 0);
    if (notLeader.leader().isPresent()) {
      out.packString(notLeader.leader().get().name());
    }
  }

  @Override
  public Optional<KeyMessage> decode(Payload bytes) {
    return BoundedReader.decode(bytes, in -> in.variant(new Messages()));
  }

  private static final class Messages implements BoundedReader.Variants<KeyMessage> {
    @Override
    public int fields(int type) {
      return switch (type) {
        case TYPE_RESERVE -> 4;
        case TYPE_RECORD, TYPE_ANSWER, TYPE_NOT_LEADER -> 3;
        case TYPE_RELEASE -> 2;
        case TYPE_WAITING -> 1;
        default -> -1;
      };
    }

    @Override
    public KeyMessage read(int type, BoundedReader in) throws IOException {
      return switch (type) {
        case TYPE_RESERVE ->
            new KeyMessage.Reserve(
                KeyFields.key(in), KeyFields.attempt(in), KeyFields.hash(in), in.longValue());
        case TYPE_RECORD ->
            new KeyMessage.RecordOutcome(
                KeyFields.key(in), KeyFields.attempt(in), KeyFields.outcome(in));
        case TYPE_RELEASE -> new KeyMessage.Release(KeyFields.key(in), KeyFields.attempt(in));
        case TYPE_ANSWER ->
            new KeyMessage.Answer(
                KeyFields.attempt(in), in.constant(OPERATIONS), KeyFields.result(in));
        case TYPE_WAITING -> new KeyMessage.Waiting(KeyFields.attempt(in));
        default ->
            new KeyMessage.NotLeader(
                KeyFields.attempt(in),
                in.constant(OPERATIONS),
                in.optional(f -> new InstanceId(f.text(KeyFields.MAX_NAME_BYTES))));
      };
    }
  }
}
