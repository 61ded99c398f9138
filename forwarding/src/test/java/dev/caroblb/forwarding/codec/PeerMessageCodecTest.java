package dev.caroblb.forwarding.codec;

import static org.junit.jupiter.api.Assertions.assertEquals;

import dev.caroblb.core.Payload;
import dev.caroblb.core.TargetId;
import dev.caroblb.forwarding.PeerMessage;
import dev.caroblb.forwarding.quarantine.AnsweredPart;
import dev.caroblb.forwarding.quarantine.CrashReport;
import dev.caroblb.forwarding.quarantine.Evidence;
import dev.caroblb.forwarding.quarantine.PromptPart;
import dev.caroblb.forwarding.quarantine.SuspectPart;
import java.util.List;
import java.util.Optional;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;

class PeerMessageCodecTest {
  private final PeerMessageCodec codec = new PeerMessageCodec();

  @Nested
  class RoundTrip {
    /** Guards against fields lost or swapped in encoding or decoding. */
    @Test
    void keepsEveryField() {
      Evidence evidence =
          new Evidence(
              List.of(
                  new CrashReport(
                      new TargetId("t"), 1, 2, List.of(new SuspectPart(new PromptPart("a"), 3)))),
              List.of(new AnsweredPart(new PromptPart("b"), 4)));
      for (PeerMessage message :
          List.of(
              new PeerMessage.EvidenceReport(evidence),
              new PeerMessage.EvidenceAnnouncement(evidence))) {
        assertEquals(Optional.of(message), codec.decode(codec.encode(message)));
      }
    }
  }

  @Nested
  class Malformed {
    /** Guards against a malformed message that makes the handler fail. */
    @Test
    void isNoMessage() {
      assertEquals(Optional.empty(), codec.decode(Payload.ofText("no message")));
      assertEquals(Optional.empty(), codec.decode(Payload.empty()));
    }
  }
}
