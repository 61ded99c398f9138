package dev.caroblb.membership.codec;

import static org.junit.jupiter.api.Assertions.assertEquals;

import dev.caroblb.core.FailureDomain;
import dev.caroblb.core.InstanceId;
import dev.caroblb.core.Payload;
import dev.caroblb.core.SoftwareVersion;
import dev.caroblb.core.TargetId;
import dev.caroblb.membership.AgedAnnouncement;
import dev.caroblb.membership.Announcement;
import dev.caroblb.membership.CacheEvent;
import dev.caroblb.membership.Echo;
import dev.caroblb.membership.InstanceResources;
import dev.caroblb.membership.InstanceState;
import dev.caroblb.membership.PeerMessage;
import dev.caroblb.membership.TargetKind;
import dev.caroblb.membership.TargetLoad;
import dev.caroblb.membership.TargetSummary;
import java.io.IOException;
import java.util.Arrays;
import java.util.List;
import java.util.Optional;
import net.jqwik.api.ForAll;
import net.jqwik.api.Group;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.Size;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;
import org.msgpack.core.MessageBufferPacker;
import org.msgpack.core.MessagePack;

class MembershipCodecTest {
  private static final Announcement ANNOUNCEMENT =
      new Announcement(
          new TargetId("t1"),
          3,
          4,
          TargetKind.SERVICE,
          new FailureDomain("d2"),
          "[::1]:80",
          List.of("ledger", "größe"),
          true,
          new TargetLoad(1, 2, 3, 4, 5, -6),
          List.of(new CacheEvent(1, CacheEvent.Change.EVICTED, Long.MIN_VALUE)),
          2_500,
          new SoftwareVersion("v1.1"));
  private static final TargetSummary SUMMARY = new TargetSummary(new TargetId("t1"), 1, -1, true);
  private static final List<PeerMessage> MESSAGES =
      List.of(
          new PeerMessage.Heartbeat(
              1,
              2,
              InstanceState.DRAINING,
              3,
              new FailureDomain("d1"),
              "",
              -4,
              List.of(new InstanceId("control-1"))),
          new PeerMessage.Heartbeat(
              1,
              3,
              InstanceState.NOT_ADMITTING,
              3,
              new FailureDomain("d1"),
              "10.0.0.1:80",
              -4,
              List.of(),
              Optional.of(new InstanceResources(360, 7_000, 80))),
          new PeerMessage.Records(
              Optional.of(new Echo(1, 2, 3)), List.of(new AgedAnnouncement(ANNOUNCEMENT, 9))),
          new PeerMessage.Records(Optional.empty(), List.of()),
          new PeerMessage.Digest(List.of(SUMMARY)),
          new PeerMessage.Request(List.of(SUMMARY, SUMMARY)));

  private final MembershipCodec codec = new MembershipCodec();

  @Nested
  class WellFormed {
    /** Guards against fields that are lost or swapped by encoding and decoding. */
    @Test
    void isReadAsWritten() {
      for (PeerMessage message : MESSAGES) {
        assertEquals(Optional.of(message), codec.decode(codec.encode(message)));
      }
    }

    /** Guards against an instance that cannot read messages of a later version. */
    @Test
    void ignoresTrailingFields() throws IOException {
      try (MessageBufferPacker out = MessagePack.newDefaultBufferPacker()) {
        out.packArrayHeader(4).packInt(2).packArrayHeader(1);
        out.packArrayHeader(4).packLong(1).packLong(2).packLong(3).packString("later");
        out.packArrayHeader(0).packMapHeader(1).packInt(1).packNil();
        assertEquals(
            Optional.of(new PeerMessage.Records(Optional.of(new Echo(1, 2, 3)), List.of())),
            codec.decode(Payload.copyOf(out.toByteArray())));
      }
    }
  }

  @Nested
  class Malformed {
    /** Guards against decoding a truncated message as a complete one. */
    @Test
    void everyPrefixIsRefused() {
      for (PeerMessage message : MESSAGES) {
        byte[] bytes = codec.encode(message).toBytes();
        for (int length = 0; length < bytes.length; length++) {
          Payload prefix = Payload.copyOf(Arrays.copyOf(bytes, length));
          assertEquals(Optional.empty(), codec.decode(prefix));
        }
      }
    }

    /** Guards against allocating memory for a declared length that does not follow. */
    @Test
    void hugeLengthsAreRefused() {
      byte[] list = {(byte) 0x92, 3, (byte) 0xdd, 0x7f, -1, -1, -1};
      byte[] text = {(byte) 0x92, 3, (byte) 0x91, (byte) 0x94, (byte) 0xdb, 0x7f, -1, -1, -1};
      assertEquals(Optional.empty(), codec.decode(Payload.copyOf(list)));
      assertEquals(Optional.empty(), codec.decode(Payload.copyOf(text)));
    }
  }

  @Group
  class Arbitrary {
    /** Guards against exceptions on malformed bytes. */
    @Property(tries = 2_000, seed = "20263")
    void bytesNeverThrow(@ForAll @Size(max = 64) byte[] bytes, @ForAll int type) {
      codec.decode(Payload.copyOf(bytes));
      byte[] framed = new byte[bytes.length + 2];
      framed[0] = (byte) 0x98;
      framed[1] = (byte) (1 + Math.floorMod(type, 4));
      System.arraycopy(bytes, 0, framed, 2, bytes.length);
      codec.decode(Payload.copyOf(framed));
    }
  }
}
