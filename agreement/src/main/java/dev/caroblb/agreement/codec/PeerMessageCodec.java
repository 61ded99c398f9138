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
 * Codec for the messages between replicas. A message is an array of the message type, the group,
 * the sender's incarnation, and the fields of the type in the order of its record.
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
  private static final int INITIAL_MEMBERS = 9;
  private static final int HEADER_FIELDS = 3;

  /** Largest snapshot state that a replica accepts; it is held in memory during the transfer. */
  private static final long MAX_SNAPSHOT_BYTES = 1L << 30;

  @Override
  public Payload encode(PeerMessage message) {
    try (MessageBufferPacker packer = MessagePack.newDefaultBufferPacker()) {
      write(packer, new FieldWriter(packer), message);
      return Payload.copyOf(packer.toByteArray());
    } catch (IOException e) {
      throw new IllegalStateException("writing to a memory buffer failed", e);
    }
  }

  @Override
  public Optional<PeerMessage> decode(Payload bytes) {
    try (MessageUnpacker unpacker = MessagePack.newDefaultUnpacker(bytes.toBytes())) {
      int fields = unpacker.unpackArrayHeader();
      int type = unpacker.unpackInt();
      if (fields != HEADER_FIELDS + bodyFieldCount(type)) {
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
      packHeader(packer, fields, APPEND_REQUEST, message);
      packLongs(packer, request.term(), request.sentMs(), request.previousIndex());
      packLongs(packer, request.previousTerm(), request.commitIndex());
      fields.entries(request.entries());
    } else if (message instanceof PeerMessage.AppendResponse response) {
      packHeader(packer, fields, APPEND_RESPONSE, message);
      packLongs(packer, response.term(), response.sentMs());
      packer.packBoolean(response.matched());
      packLongs(packer, response.index());
    } else if (message instanceof PeerMessage.VoteRequest request) {
      packHeader(packer, fields, VOTE_REQUEST, message);
      packLongs(packer, request.term());
      packer.packBoolean(request.preVote());
      packLongs(packer, request.lastIndex(), request.lastTerm());
    } else if (message instanceof PeerMessage.VoteResponse response) {
      packHeader(packer, fields, VOTE_RESPONSE, message);
      packLongs(packer, response.term(), response.requestTerm());
      packer.packBoolean(response.preVote());
      packer.packBoolean(response.granted());
    } else if (message instanceof PeerMessage.SnapshotChunk chunk) {
      packHeader(packer, fields, SNAPSHOT_CHUNK, message);
      packLongs(packer, chunk.term(), chunk.sentMs(), chunk.lastIndex(), chunk.lastTerm());
      fields.members(chunk.members());
      packLongs(packer, chunk.totalBytes(), chunk.offset());
      fields.bytes(chunk.bytes());
    } else {
      writeOther(packer, fields, message);
    }
  }

  private static void writeOther(MessagePacker packer, FieldWriter fields, PeerMessage message)
      throws IOException {
    if (message instanceof PeerMessage.SnapshotProgress progress) {
      packHeader(packer, fields, SNAPSHOT_PROGRESS, message);
      packLongs(packer, progress.term(), progress.sentMs());
      packLongs(packer, progress.lastIndex(), progress.receivedBytes());
    } else if (message instanceof PeerMessage.Probe probe) {
      packHeader(packer, fields, PROBE, message);
      packLongs(packer, probe.nonce());
    } else if (message instanceof PeerMessage.Report report) {
      packHeader(packer, fields, REPORT, message);
      packLongs(packer, report.nonce());
      packer.packBoolean(report.blank());
      fields.members(report.members());
    } else if (message instanceof PeerMessage.InitialMembers initialMembers) {
      packHeader(packer, fields, INITIAL_MEMBERS, message);
      fields.members(initialMembers.members());
    }
  }

  private static void packHeader(
      MessagePacker packer, FieldWriter fields, int type, PeerMessage message) throws IOException {
    packer.packArrayHeader(HEADER_FIELDS + bodyFieldCount(type));
    packer.packInt(type);
    packer.packString(message.group().name());
    fields.incarnation(message.incarnation());
  }

  private static void packLongs(MessagePacker packer, long... values) throws IOException {
    for (long value : values) {
      packer.packLong(value);
    }
  }

  private static int bodyFieldCount(int type) {
    return switch (type) {
      case VOTE_REQUEST, VOTE_RESPONSE, APPEND_RESPONSE, SNAPSHOT_PROGRESS -> 4;
      case APPEND_REQUEST -> 6;
      case SNAPSHOT_CHUNK -> 8;
      case REPORT -> 3;
      case PROBE, INITIAL_MEMBERS -> 1;
      default -> throw new IllegalArgumentException("unknown message type " + type);
    };
  }

  private static PeerMessage read(int type, FieldReader in) throws IOException {
    GroupId group = in.group();
    String sender = in.incarnation();
    return switch (type) {
      case VOTE_REQUEST ->
          new PeerMessage.VoteRequest(
              group,
              sender,
              in.nonNegativeLong(),
              in.flag(),
              in.nonNegativeLong(),
              in.nonNegativeLong());
      case VOTE_RESPONSE ->
          new PeerMessage.VoteResponse(
              group, sender, in.nonNegativeLong(), in.nonNegativeLong(), in.flag(), in.flag());
      case APPEND_REQUEST -> readAppend(group, sender, in);
      case APPEND_RESPONSE ->
          new PeerMessage.AppendResponse(
              group,
              sender,
              in.nonNegativeLong(),
              in.signedLong(),
              in.flag(),
              in.nonNegativeLong());
      case SNAPSHOT_CHUNK -> readChunk(group, sender, in);
      case SNAPSHOT_PROGRESS ->
          new PeerMessage.SnapshotProgress(
              group,
              sender,
              in.nonNegativeLong(),
              in.signedLong(),
              in.nonNegativeLong(),
              in.nonNegativeLong());
      case PROBE -> new PeerMessage.Probe(group, sender, in.signedLong());
      case REPORT ->
          new PeerMessage.Report(group, sender, in.signedLong(), in.flag(), in.members());
      case INITIAL_MEMBERS -> new PeerMessage.InitialMembers(group, sender, in.members());
      default -> throw new IllegalArgumentException("unknown message type " + type);
    };
  }

  private static PeerMessage readAppend(GroupId group, String sender, FieldReader in)
      throws IOException {
    long term = in.nonNegativeLong();
    long sentMs = in.signedLong();
    long previousIndex = in.nonNegativeLong();
    long previousTerm = in.nonNegativeLong();
    long commitIndex = in.nonNegativeLong();
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
            in.nonNegativeLong(),
            in.signedLong(),
            in.nonNegativeLong(),
            in.nonNegativeLong(),
            in.members(),
            in.nonNegativeLong(),
            in.nonNegativeLong(),
            in.bytes());
    if (chunk.totalBytes() > MAX_SNAPSHOT_BYTES
        || chunk.offset() > chunk.totalBytes() - chunk.bytes().size()) {
      throw new IllegalArgumentException("chunk extends beyond the end of the snapshot");
    }
    return chunk;
  }
}
