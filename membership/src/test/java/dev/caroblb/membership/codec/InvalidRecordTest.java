package dev.caroblb.membership.codec;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;

import dev.caroblb.core.FailureDomain;
import dev.caroblb.core.Payload;
import dev.caroblb.core.TargetId;
import dev.caroblb.membership.AgedAnnouncement;
import dev.caroblb.membership.Announcement;
import dev.caroblb.membership.PeerMessage;
import dev.caroblb.membership.TargetKind;
import dev.caroblb.membership.TargetLoad;
import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.Optional;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;

/** Messages in which one record of a target is invalid. */
class InvalidRecordTest {
  private final MembershipCodec codec = new MembershipCodec();

  private static AgedAnnouncement record(String target, String address) {
    return new AgedAnnouncement(
        new Announcement(
            new TargetId(target),
            3,
            4,
            TargetKind.SERVICE,
            new FailureDomain("zone-" + target),
            address,
            List.of("ledger"),
            false,
            new TargetLoad(0, 0, 0, 0, 0, 0),
            List.of()),
        9);
  }

  private static final List<AgedAnnouncement> VALID =
      List.of(record("first", "10.0.0.1:80"), record("last", "10.0.0.3:80"));

  /** Decodes a message of three records, the middle one with other text of the same length. */
  private Optional<PeerMessage> decodeWith(String text, String replacement) {
    PeerMessage.Records message =
        new PeerMessage.Records(
            Optional.empty(),
            List.of(VALID.get(0), record("middle", "10.0.0.22:8080"), VALID.get(1)));
    String bytes = new String(codec.encode(message).toBytes(), StandardCharsets.ISO_8859_1);
    String changed = bytes.replace(text, replacement);
    return codec.decode(Payload.copyOf(changed.getBytes(StandardCharsets.ISO_8859_1)));
  }

  @Nested
  class Received {
    /** Guards against one invalid record that hides the other targets of the message. */
    @Test
    void isLeftOutAndTheOthersAreRead() {
      for (String[] change :
          new String[][] {
            {"10.0.0.22:8080", "10.0.0.2:65536"},
            {"10.0.0.22:8080", "10.0.0.222:-80"},
            {"10.0.0.22:8080", "target.example"},
            {"10.0.0.22:8080", "999.0.0.2:8080"},
            {"10.0.0.22:8080", "0.0.0.0:808080"},
            {"\u00a6middle", "\u00a6-iddle"},
            {"zone-middle", "zone/middle"}
          }) {
        assertEquals(
            Optional.of(new PeerMessage.Records(Optional.empty(), VALID)),
            decodeWith(change[0], change[1]),
            change[1]);
      }
    }
  }

  @Nested
  class Created {
    /** Guards against forwarding a record that other instances do not accept. */
    @Test
    void needsTheAddressOfOneMachine() {
      for (String address : List.of("10.0.0.1:0", "10.0.0.1:65536", "host:80", "224.0.0.1:80")) {
        assertThrows(IllegalArgumentException.class, () -> record("odd", address), address);
      }
    }
  }
}
