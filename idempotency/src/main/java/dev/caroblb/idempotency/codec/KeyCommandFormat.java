package dev.caroblb.idempotency.codec;

import dev.caroblb.core.Payload;
import dev.caroblb.idempotency.KeyCommand;
import dev.caroblb.idempotency.KeyFormat;
import dev.caroblb.idempotency.KeyResult;
import dev.caroblb.transport.codec.BoundedReader;
import dev.caroblb.transport.codec.Packing;
import java.io.IOException;
import java.util.Optional;
import org.msgpack.core.MessagePacker;

/** Encodes log commands and their results. */
public final class KeyCommandFormat implements KeyFormat {
  private static final int TYPE_RESERVE = 1;
  private static final int TYPE_RECORD = 2;
  private static final int TYPE_RELEASE = 3;

  @Override
  public Payload encode(KeyCommand command) {
    return Packing.pack(out -> write(out, command));
  }

  private static void write(MessagePacker out, KeyCommand command) throws IOException {
    if (command instanceof KeyCommand.Reserve reserve) {
      KeyFields.writeType(out, TYPE_RESERVE, 4);
      KeyFields.writeKey(out, reserve.key());
      KeyFields.writeAttempt(out, reserve.attempt());
      KeyFields.writeHash(out, reserve.digest());
      out.packLong(reserve.wallMs());
    } else if (command instanceof KeyCommand.RecordOutcome recordOutcome) {
      KeyFields.writeType(out, TYPE_RECORD, 3);
      KeyFields.writeKey(out, recordOutcome.key());
      KeyFields.writeAttempt(out, recordOutcome.attempt());
      KeyFields.writeOutcome(out, recordOutcome.outcome());
    } else if (command instanceof KeyCommand.Release release) {
      KeyFields.writeType(out, TYPE_RELEASE, 2);
      KeyFields.writeKey(out, release.key());
      KeyFields.writeAttempt(out, release.attempt());
    }
  }

  /** Decodes a command; empty if it is malformed or from a later version. */
  Optional<KeyCommand> decodeCommand(Payload bytes) {
    return BoundedReader.decode(bytes, in -> in.variant(new Commands()));
  }

  Payload encodeResult(KeyResult result) {
    return Packing.pack(out -> KeyFields.writeResult(out, result));
  }

  @Override
  public Optional<KeyResult> decodeResult(Payload bytes) {
    return BoundedReader.decode(bytes, KeyFields::result);
  }

  private static final class Commands implements BoundedReader.Variants<KeyCommand> {
    @Override
    public int fields(int type) {
      return switch (type) {
        case TYPE_RESERVE -> 4;
        case TYPE_RECORD -> 3;
        case TYPE_RELEASE -> 2;
        default -> -1;
      };
    }

    @Override
    public KeyCommand read(int type, BoundedReader in) throws IOException {
      return switch (type) {
        case TYPE_RESERVE ->
            new KeyCommand.Reserve(
                KeyFields.key(in), KeyFields.attempt(in), KeyFields.hash(in), in.longValue());
        case TYPE_RECORD ->
            new KeyCommand.RecordOutcome(
                KeyFields.key(in), KeyFields.attempt(in), KeyFields.outcome(in));
        default -> new KeyCommand.Release(KeyFields.key(in), KeyFields.attempt(in));
      };
    }
  }
}
