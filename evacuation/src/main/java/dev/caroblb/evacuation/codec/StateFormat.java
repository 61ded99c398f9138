package dev.caroblb.evacuation.codec;

import dev.caroblb.core.FailureDomain;
import dev.caroblb.core.Payload;
import dev.caroblb.evacuation.EvacuationState;
import dev.caroblb.transport.codec.BoundedReader;
import dev.caroblb.transport.codec.Packing;
import java.io.IOException;
import java.util.HashSet;
import java.util.Optional;
import org.msgpack.core.MessagePacker;

/** Format of states: {@code revision, [domain, ...]}. */
final class StateFormat {
  static final int FIELDS = 2;

  /** Maximum size of a valid name in bytes. */
  static final int MAX_NAME_BYTES = 63;

  /**
   * Maximum number of domains in a message. Only domains that the settings name get into the state,
   * which are a few.
   */
  private static final int MAX_DOMAINS = 10_000;

  private StateFormat() {}

  static void write(MessagePacker out, EvacuationState state) throws IOException {
    out.packLong(state.revision());
    out.packArrayHeader(state.domains().size());
    for (String name : state.names()) {
      out.packString(name);
    }
  }

  static EvacuationState read(BoundedReader in) throws IOException {
    long revision = in.longValue();
    return new EvacuationState(
        revision, new HashSet<>(in.list(MAX_DOMAINS, StateFormat::readDomain)));
  }

  static FailureDomain readDomain(BoundedReader in) throws IOException {
    return new FailureDomain(in.text(MAX_NAME_BYTES));
  }

  /** Encodes a state as a value of its own, for snapshots and results. */
  static Payload encode(EvacuationState state) {
    return Packing.pack(
        out -> {
          out.packArrayHeader(FIELDS);
          write(out, state);
        });
  }

  static Optional<EvacuationState> decode(Payload bytes) {
    return BoundedReader.decode(bytes, in -> in.structure(FIELDS, StateFormat::read));
  }
}
