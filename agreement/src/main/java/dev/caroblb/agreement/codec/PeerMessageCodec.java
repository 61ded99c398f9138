package dev.caroblb.agreement.codec;

import dev.caroblb.agreement.PeerMessage;
import dev.caroblb.core.GroupId;
import dev.caroblb.core.MessageCodec;
import dev.caroblb.core.Payload;
import java.io.IOException;
import java.util.Optional;
import org.msgpack.core.MessageBufferPacker;
import org.msgpack.core.MessagePack;
import org.msgpack.core.MessagePackException;
import org.msgpack.core.MessagePacker;
import org.msgpack.core.MessageUnpacker;

/**
 * Format of the messages between replicas: an array of the number of the message type, the group,
 * the incarnation of the sender and the fields of the type in the order of its record.
 */
public final class PeerMessageCodec implements MessageCodec<PeerMessage> {
  private static final int VOTE_REQUEST = 1;
  private static final int VOTE_RESPONSE = 2;
  private static final int APPEND_REQUEST = 3;
  private static final int APPEND_RESPONSE = 4;
  private static final int SNAPSHOT_CHUNK = 5;
  private static final int SNAPSHOT_PROGRESS = 6;
  private static final int PROBE = 7;
  private static final int REPORT = 8;
  private static final int FORM = 9;
  private static final int HEADER_FIELDS = 3;

  /** Largest state that a replica takes over; it is held in memory while it arrives. */
  private static final long MAX_SNAPSHOT_BYTES = 1L << 30;

  @Override
  public Payload encode(PeerMessage message) {
    try (MessageBufferPacker packer = MessagePack.newDefaultBufferPacker()) {
      write(packer, new FieldWriter(packer), message);
      return Payload.copyOf(packer.toByteArray());
    } catch (IOException e) {
      throw new IllegalStateException("a buffer in memory failed", e);
    }
  }

  @Override
  public Optional<PeerMessage> decode(Payload bytes) {
    try (MessageUnpacker unpacker = MessagePack.newDefaultUnpacker(bytes.toBytes())) {
      int fields = unpacker.unpackArrayHeader();
      int type = unpacker.unpackInt();
      if (fields != HEADER_FIELDS + bodyFields(type)) {
        return Optional.empty();
      }
      PeerMessage message = read(type, new FieldReader(unpacker, bytes.size()));
      return unpacker.hasNext() ? Optional.empty() : Optional.of(message);
    } catch (IOException | MessagePackException | IllegalArgumentException e) {
      return Optional.empty();
    }
  }

  private static void write(MessagePacker packer, FieldWriter fields, PeerMessage message)
      throws IOException {
    if (message instanceof PeerMessage.AppendRequest request) {
      header(packer, fields, APPEND_REQUEST, message);
      longs(packer, request.term(), request.sentMs(), request.previousIndex());
      longs(packer, request.previousTerm(), request.commitIndex());
      fields.entries(request.entries());
    } else if (message instanceof PeerMessage.AppendResponse response) {
      header(packer, fields, APPEND_RESPONSE, message);
      longs(packer, response.term(), response.sentMs());
      packer.packBoolean(response.matched());
      longs(packer, response.index());
    } else if (message instanceof PeerMessage.VoteRequest request) {
      header(packer, fields, VOTE_REQUEST, message);
      longs(packer, request.term());
      packer.packBoolean(request.preVote());
      longs(packer, request.lastIndex(), request.lastTerm());
    } else if (message instanceof PeerMessage.VoteResponse response) {
      header(packer, fields, VOTE_RESPONSE, message);
      longs(packer, response.term(), response.requestTerm());
      packer.packBoolean(response.preVote());
      packer.packBoolean(response.granted());
    } else if (message instanceof PeerMessage.SnapshotChunk chunk) {
      header(packer, fields, SNAPSHOT_CHUNK, message);
      longs(packer, chunk.term(), chunk.sentMs(), chunk.lastIndex(), chunk.lastTerm());
      fields.members(chunk.members());
      longs(packer, chunk.totalBytes(), chunk.offset());
      fields.bytes(chunk.bytes());
    } else {
      writeRare(packer, fields, message);
    }
  }

  private static void writeRare(MessagePacker packer, FieldWriter fields, PeerMessage message)
      throws IOException {
    if (message instanceof PeerMessage.SnapshotProgress progress) {
      header(packer, fields, SNAPSHOT_PROGRESS, message);
      longs(packer, progress.term(), progress.sentMs());
      longs(packer, progress.lastIndex(), progress.receivedBytes());
    } else if (message instanceof PeerMessage.Probe probe) {
      header(packer, fields, PROBE, message);
      longs(packer, probe.nonce());
    } else if (message instanceof PeerMessage.Report report) {
      header(packer, fields, REPORT, message);
      longs(packer, report.nonce());
      packer.packBoolean(report.blank());
    } else if (message instanceof PeerMessage.Form form) {
      header(packer, fields, FORM, message);
      fields.members(form.members());
    }
  }

  private static void header(
      MessagePacker packer, FieldWriter fields, int type, PeerMessage message) throws IOException {
    packer.packArrayHeader(HEADER_FIELDS + bodyFields(type));
    packer.packInt(type);
    packer.packString(message.group().name());
    fields.incarnation(message.incarnation());
  }

  private static void longs(MessagePacker packer, long... values) throws IOException {
    for (long value : values) {
      packer.packLong(value);
    }
  }

  private static int bodyFields(int type) {
    return switch (type) {
      case VOTE_REQUEST, VOTE_RESPONSE, APPEND_RESPONSE, SNAPSHOT_PROGRESS -> 4;
      case APPEND_REQUEST -> 6;
      case SNAPSHOT_CHUNK -> 8;
      case REPORT -> 2;
      case PROBE, FORM -> 1;
      default -> throw new IllegalArgumentException("message type " + type + " is unknown");
    };
  }

  private static PeerMessage read(int type, FieldReader in) throws IOException {
    GroupId group = in.group();
    String sender = in.incarnation();
    return switch (type) {
      case VOTE_REQUEST ->
          new PeerMessage.VoteRequest(group, sender, in.count(), in.flag(), in.count(), in.count());
      case VOTE_RESPONSE ->
          new PeerMessage.VoteResponse(group, sender, in.count(), in.count(), in.flag(), in.flag());
      case APPEND_REQUEST -> readAppend(group, sender, in);
      case APPEND_RESPONSE ->
          new PeerMessage.AppendResponse(
              group, sender, in.count(), in.number(), in.flag(), in.count());
      case SNAPSHOT_CHUNK -> readChunk(group, sender, in);
      case SNAPSHOT_PROGRESS ->
          new PeerMessage.SnapshotProgress(
              group, sender, in.count(), in.number(), in.count(), in.count());
      case PROBE -> new PeerMessage.Probe(group, sender, in.number());
      case REPORT -> new PeerMessage.Report(group, sender, in.number(), in.flag());
      case FORM -> new PeerMessage.Form(group, sender, in.members());
      default -> throw new IllegalArgumentException("message type " + type + " is unknown");
    };
  }

  private static PeerMessage readAppend(GroupId group, String sender, FieldReader in)
      throws IOException {
    long term = in.count();
    long sentMs = in.number();
    long previousIndex = in.count();
    long previousTerm = in.count();
    long commitIndex = in.count();
    return new PeerMessage.AppendRequest(
        group,
        sender,
        term,
        sentMs,
        previousIndex,
        previousTerm,
        commitIndex,
        in.entries(previousIndex));
  }

  private static PeerMessage readChunk(GroupId group, String sender, FieldReader in)
      throws IOException {
    PeerMessage.SnapshotChunk chunk =
        new PeerMessage.SnapshotChunk(
            group,
            sender,
            in.count(),
            in.number(),
            in.count(),
            in.count(),
            in.members(),
            in.count(),
            in.count(),
            in.bytes());
    if (chunk.totalBytes() > MAX_SNAPSHOT_BYTES
        || chunk.offset() > chunk.totalBytes() - chunk.bytes().size()) {
      throw new IllegalArgumentException("the chunk does not fit into the snapshot");
    }
    return chunk;
  }
}
