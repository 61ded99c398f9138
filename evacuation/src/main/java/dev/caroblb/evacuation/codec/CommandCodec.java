package dev.caroblb.evacuation.codec;

import dev.caroblb.core.FailureDomain;
import dev.caroblb.core.MessageCodec;
import dev.caroblb.core.Payload;
import dev.caroblb.evacuation.EvacuationCommand;
import dev.caroblb.transport.codec.BoundedReader;
import dev.caroblb.transport.codec.Packing;
import java.io.IOException;
import java.util.Optional;

/**
 * Encodes commands as an array {@code [type, domain]}. The types differ from those of the routing
 * commands, which are in the same log.
 */
public final class CommandCodec implements MessageCodec<EvacuationCommand> {
  private static final int TYPE_BEGIN = 16;
  private static final int TYPE_END = 17;
  private static final int FIELDS = 1;

  @Override
  public Payload encode(EvacuationCommand command) {
    return Packing.pack(
        out -> {
          out.packArrayHeader(1 + FIELDS);
          out.packInt(command instanceof EvacuationCommand.Begin ? TYPE_BEGIN : TYPE_END);
          out.packString(command.domain().name());
        });
  }

  @Override
  public Optional<EvacuationCommand> decode(Payload bytes) {
    return BoundedReader.decode(bytes, in -> in.variant(new Variants()));
  }

  private static final class Variants implements BoundedReader.Variants<EvacuationCommand> {
    @Override
    public int fields(int type) {
      return type == TYPE_BEGIN || type == TYPE_END ? FIELDS : -1;
    }

    @Override
    public EvacuationCommand read(int type, BoundedReader in) throws IOException {
      FailureDomain domain = StateFormat.readDomain(in);
      return type == TYPE_BEGIN
          ? new EvacuationCommand.Begin(domain)
          : new EvacuationCommand.End(domain);
    }
  }
}
