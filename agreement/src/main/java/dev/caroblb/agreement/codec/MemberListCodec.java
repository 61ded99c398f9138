package dev.caroblb.agreement.codec;

import dev.caroblb.agreement.Member;
import dev.caroblb.core.MessageCodec;
import dev.caroblb.core.Payload;
import java.io.IOException;
import java.util.List;
import java.util.Optional;
import org.msgpack.core.MessageBufferPacker;
import org.msgpack.core.MessagePack;
import org.msgpack.core.MessagePackException;
import org.msgpack.core.MessageUnpacker;

/** Codec for the member lists in the replicated log. */
public final class MemberListCodec implements MessageCodec<List<Member>> {
  @Override
  public Payload encode(List<Member> members) {
    try (MessageBufferPacker packer = MessagePack.newDefaultBufferPacker()) {
      new FieldWriter(packer).members(members);
      return Payload.copyOf(packer.toByteArray());
    } catch (IOException e) {
      throw new IllegalStateException("writing to a memory buffer failed", e);
    }
  }

  @Override
  public Optional<List<Member>> decode(Payload bytes) {
    try (MessageUnpacker unpacker = MessagePack.newDefaultUnpacker(bytes.toBytes())) {
      List<Member> members = new FieldReader(unpacker, bytes.size()).members();
      return unpacker.hasNext() ? Optional.empty() : Optional.of(members);
    } catch (IOException | MessagePackException | IllegalArgumentException e) {
      return Optional.empty();
    }
  }
}
