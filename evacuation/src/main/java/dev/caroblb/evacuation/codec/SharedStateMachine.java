package dev.caroblb.evacuation.codec;

import dev.caroblb.core.Payload;
import dev.caroblb.core.StateMachine;
import dev.caroblb.transport.codec.BoundedReader;
import dev.caroblb.transport.codec.Packing;
import java.io.IOException;
import java.util.Optional;

/**
 * Lets the evacuation state share a consensus group with the state machine that had the group to
 * itself in earlier versions. Commands are told apart by their type. A snapshot is an array {@code
 * [type, snapshot of the first state machine, evacuation state]}; before the first order, and in
 * earlier versions, it is the snapshot of the first state machine alone.
 */
public final class SharedStateMachine implements StateMachine {
  /** Differs from the types with which snapshots of the first state machine start. */
  private static final int TYPE_SNAPSHOT = 18;

  private static final int SNAPSHOT_FIELDS = 2;

  /** Larger than any routing snapshot, whose documents are limited to 4 MiB. */
  private static final int MAX_PART_BYTES = 16 << 20;

  private record Parts(Payload first, Payload evacuations) {}

  private final StateMachine first;
  private final EvacuationStateMachine evacuations;

  /**
   * @param first the state machine that gets all commands of other types
   */
  public SharedStateMachine(StateMachine first, EvacuationStateMachine evacuations) {
    this.first = first;
    this.evacuations = evacuations;
  }

  @Override
  public Payload apply(Payload command) {
    return evacuations.understands(command) ? evacuations.apply(command) : first.apply(command);
  }

  @Override
  public Payload snapshot() {
    if (evacuations.isInitial()) {
      return first.snapshot();
    }
    return Packing.pack(
        out -> {
          out.packArrayHeader(1 + SNAPSHOT_FIELDS);
          out.packInt(TYPE_SNAPSHOT);
          for (Payload part : new Payload[] {first.snapshot(), evacuations.snapshot()}) {
            out.packBinaryHeader(part.size());
            out.writePayload(part.toBytes());
          }
        });
  }

  @Override
  public void restore(Payload snapshot) {
    Optional<Parts> parts =
        BoundedReader.decode(snapshot, in -> in.variant(new SnapshotVariants()));
    if (parts.isEmpty()) {
      first.restore(snapshot);
      evacuations.restoreInitial();
      return;
    }
    first.restore(parts.get().first());
    evacuations.restore(parts.get().evacuations());
  }

  @Override
  public boolean snapshotsWhenIdle() {
    return first.snapshotsWhenIdle() || evacuations.snapshotsWhenIdle();
  }

  private static final class SnapshotVariants implements BoundedReader.Variants<Parts> {
    @Override
    public int fields(int type) {
      return type == TYPE_SNAPSHOT ? SNAPSHOT_FIELDS : -1;
    }

    @Override
    public Parts read(int type, BoundedReader in) throws IOException {
      Payload first = in.bytes(MAX_PART_BYTES);
      return new Parts(first, in.bytes(MAX_PART_BYTES));
    }
  }
}
