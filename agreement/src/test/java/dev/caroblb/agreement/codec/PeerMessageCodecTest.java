package dev.caroblb.agreement.codec;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import dev.caroblb.agreement.EntryKind;
import dev.caroblb.agreement.LogEntry;
import dev.caroblb.agreement.Member;
import dev.caroblb.agreement.PeerMessage;
import dev.caroblb.core.GroupId;
import dev.caroblb.core.InstanceId;
import dev.caroblb.core.Payload;
import java.util.Arrays;
import java.util.List;
import java.util.Optional;
import net.jqwik.api.ForAll;
import net.jqwik.api.Group;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.IntRange;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;

class PeerMessageCodecTest {
  private static final GroupId GROUP = GroupId.CONTROL;
  private static final String SENDER = "0123456789abcdef0123456789abcdef";
  private static final List<Member> MEMBERS =
      List.of(
          new Member(new InstanceId("replica-0"), SENDER),
          new Member(new InstanceId("replica-1"), "f".repeat(32)));

  private static final List<PeerMessage> MESSAGES =
      List.of(
          new PeerMessage.VoteRequest(GROUP, SENDER, 3, true, 12, 2),
          new PeerMessage.VoteResponse(GROUP, SENDER, 3, 4, false, true),
          new PeerMessage.AppendRequest(
              GROUP,
              SENDER,
              3,
              -5,
              11,
              2,
              10,
              List.of(
                  new LogEntry(12, 3, EntryKind.NO_OP, Payload.empty()),
                  new LogEntry(13, 3, EntryKind.COMMAND, Payload.ofText("command")),
                  new LogEntry(14, 3, EntryKind.MEMBERS, new MemberListCodec().encode(MEMBERS)))),
          new PeerMessage.AppendResponse(GROUP, SENDER, 3, 77, true, 13),
          new PeerMessage.SnapshotChunk(
              GROUP, SENDER, 3, 77, 12, 2, MEMBERS, 9, 4, Payload.ofText("chunk")),
          new PeerMessage.SnapshotProgress(GROUP, SENDER, 3, 77, 12, 9),
          new PeerMessage.Probe(GROUP, SENDER, Long.MIN_VALUE),
          new PeerMessage.Report(GROUP, SENDER, Long.MAX_VALUE, true, MEMBERS),
          new PeerMessage.InitialMembers(GROUP, SENDER, MEMBERS));

  private final PeerMessageCodec codec = new PeerMessageCodec();

  @Nested
  class ValidMessages {
    /** Guards against a field that is lost, swapped or misread. */
    @Test
    void areDecodedUnchanged() {
      for (PeerMessage message : MESSAGES) {
        assertEquals(Optional.of(message), codec.decode(codec.encode(message)));
      }
    }
  }

  @Nested
  class MalformedMessages {
    /** Guards against a truncated or extended message that is accepted or throws. */
    @Test
    void areRejectedAtEveryLength() {
      for (PeerMessage message : MESSAGES) {
        byte[] bytes = codec.encode(message).toBytes();
        for (int length = 0; length < bytes.length; length++) {
          Payload cut = Payload.copyOf(Arrays.copyOf(bytes, length));
          assertEquals(Optional.empty(), codec.decode(cut));
        }
        Payload longer = Payload.copyOf(Arrays.copyOf(bytes, bytes.length + 1));
        assertEquals(Optional.empty(), codec.decode(longer));
      }
    }

    /** Guards against a chunk that extends beyond the end of its snapshot. */
    @Test
    void chunksBeyondTheirSnapshotAreRejected() {
      PeerMessage chunk =
          new PeerMessage.SnapshotChunk(
              GROUP, SENDER, 3, 77, 12, 2, MEMBERS, 4, 4, Payload.ofText("chunk"));
      assertEquals(Optional.empty(), codec.decode(codec.encode(chunk)));
    }
  }

  @Group
  class RandomBytes {
    /** Guards against an exception or a huge allocation for random bytes. */
    @Property(tries = 2_000, seed = "20261207")
    void neverThrow(@ForAll byte[] bytes) {
      assertTrue(codec.decode(Payload.copyOf(bytes)).isEmpty());
    }

    /** Guards against the same failures for valid messages with one changed byte. */
    @Property(tries = 2_000, seed = "20261208")
    void changedMessagesNeverThrow(
        @ForAll @IntRange(max = 8) int type, @ForAll @IntRange(max = 300) int at, @ForAll byte by) {
      byte[] bytes = codec.encode(MESSAGES.get(type)).toBytes();
      bytes[at % bytes.length] = by;
      Optional<PeerMessage> decoded = codec.decode(Payload.copyOf(bytes));
      decoded.ifPresent(message -> assertEquals(decoded, codec.decode(codec.encode(message))));
    }
  }
}
