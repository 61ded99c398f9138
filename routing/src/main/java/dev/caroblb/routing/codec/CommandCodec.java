package dev.caroblb.routing.codec;

import dev.caroblb.core.MessageCodec;
import dev.caroblb.core.Payload;
import dev.caroblb.routing.RoutingCommand;
import dev.caroblb.transport.codec.BoundedReader;
import dev.caroblb.transport.codec.Packing;
import java.io.IOException;
import java.util.Optional;
import org.msgpack.core.MessagePacker;

/** Encodes commands as an array {@code [type, field, ...]}. */
public final class CommandCodec implements MessageCodec<RoutingCommand> {
  private static final int TYPE_ACCEPT = 1;
  private static final int TYPE_BARRIER = 2;

  @Override
  public Payload encode(RoutingCommand command) {
    return Packing.pack(out -> write(out, command));
  }

  private static void write(MessagePacker out, RoutingCommand command) throws IOException {
    if (command instanceof RoutingCommand.Accept accept) {
      out.packArrayHeader(1 + DocumentFormat.FIELDS);
      out.packInt(TYPE_ACCEPT);
      DocumentFormat.write(out, accept.document());
    } else {
      out.packArrayHeader(1);
      out.packInt(TYPE_BARRIER);
    }
  }

  @Override
  public Optional<RoutingCommand> decode(Payload bytes) {
    return BoundedReader.decode(bytes, in -> in.variant(new Variants()));
  }

  private static final class Variants implements BoundedReader.Variants<RoutingCommand> {
    @Override
    public int fields(int type) {
      return switch (type) {
        case TYPE_ACCEPT -> DocumentFormat.FIELDS;
        case TYPE_BARRIER -> 0;
        default -> -1;
      };
    }

    @Override
    public RoutingCommand read(int type, BoundedReader in) throws IOException {
      return type == TYPE_ACCEPT
          ? new RoutingCommand.Accept(DocumentFormat.read(in))
          : new RoutingCommand.Barrier();
    }
  }
}
