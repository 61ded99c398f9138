package dev.caroblb.idempotency.codec;

import dev.caroblb.core.Payload;
import dev.caroblb.core.StateMachine;
import dev.caroblb.idempotency.KeyCommand;
import dev.caroblb.idempotency.KeyLimits;
import dev.caroblb.idempotency.KeyTable;
import dev.caroblb.idempotency.RecordState;
import dev.caroblb.transport.codec.BoundedReader;
import dev.caroblb.transport.codec.Packing;
import java.io.IOException;
import java.io.UncheckedIOException;
import java.util.Optional;
import org.msgpack.core.MessagePacker;

/**
 * State machine with the key records of one group, replicated by the agreement module. A snapshot
 * is {@code [version, time, number of records, [hour, record], ...]}.
 */
public final class KeyStateMachine implements StateMachine {
  private static final int SNAPSHOT_VERSION = 1;
  private static final int HEADER_FIELDS = 3;
  private static final int RECORD_FIELDS = 6;

  private final KeyTable table;
  private final KeyCommandFormat format = new KeyCommandFormat();

  public KeyStateMachine(KeyLimits limits) {
    this.table = new KeyTable(limits);
  }

  /** The key records; must be read only on the thread that applies commands. */
  public KeyTable table() {
    return table;
  }

  /**
   * Applies a command.
   *
   * @throws IllegalStateException if the command cannot be decoded; the replica must stop, since
   *     skipping a command would make it diverge from the others
   */
  @Override
  public Payload apply(Payload command) {
    Optional<KeyCommand> decoded = format.decodeCommand(command);
    if (decoded.isEmpty()) {
      throw new IllegalStateException(
          "the log has a key command that this version cannot decode; update this instance");
    }
    return format.encodeResult(table.apply(decoded.get()));
  }

  @Override
  public Payload snapshot() {
    return Packing.pack(
        out -> {
          out.packArrayHeader(HEADER_FIELDS);
          out.packInt(SNAPSHOT_VERSION);
          out.packLong(table.timeMs());
          out.packInt(table.records());
          table.forEach((hour, state) -> write(out, hour, state));
        });
  }

  private static void write(MessagePacker out, long hour, RecordState state) {
    try {
      out.packArrayHeader(RECORD_FIELDS);
      out.packLong(hour);
      KeyFields.writeHash(out, state.id());
      KeyFields.writeHash(out, state.digest());
      KeyFields.writeAttempt(out, state.holder());
      out.packBoolean(state.released());
      out.packArrayHeader(state.outcome().isPresent() ? 1 : 0);
      if (state.outcome().isPresent()) {
        KeyFields.writeOutcome(out, state.outcome().get());
      }
    } catch (IOException e) {
      throw new UncheckedIOException("packing into memory failed", e);
    }
  }

  @Override
  public void restore(Payload snapshot) {
    boolean complete = BoundedReader.decode(snapshot, this::load).orElse(false);
    if (!complete) {
      throw new IllegalStateException(
          "the snapshot of the key records is malformed; remove the data folder of this replica"
              + " so that it is copied from the others");
    }
  }

  private boolean load(BoundedReader in) throws IOException {
    long records = in.structure(HEADER_FIELDS, this::loadHeader);
    for (long i = 0; i < records; i++) {
      in.structure(RECORD_FIELDS, this::loadRecord);
    }
    return true;
  }

  private long loadHeader(BoundedReader in) throws IOException {
    int version = in.intValue();
    if (version != SNAPSHOT_VERSION) {
      throw new IOException("snapshot version " + version + " is unknown");
    }
    table.reset(in.longValue());
    return in.longValue();
  }

  private boolean loadRecord(BoundedReader in) throws IOException {
    long hour = in.longValue();
    table.load(
        hour,
        new RecordState(
            KeyFields.hash(in),
            KeyFields.hash(in),
            KeyFields.attempt(in),
            in.flag(),
            in.optional(KeyFields::outcome)));
    return true;
  }
}
