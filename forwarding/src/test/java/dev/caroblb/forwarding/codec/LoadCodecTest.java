package dev.caroblb.forwarding.codec;

import static org.junit.jupiter.api.Assertions.assertEquals;

import dev.caroblb.core.FailureDomain;
import dev.caroblb.core.Payload;
import dev.caroblb.core.TargetId;
import dev.caroblb.core.TargetRun;
import dev.caroblb.forwarding.PeerMessage;
import dev.caroblb.forwarding.PlacementNeed;
import dev.caroblb.forwarding.TargetLoad;
import dev.caroblb.forwarding.limit.LimitStatement;
import dev.caroblb.forwarding.quarantine.AnsweredPart;
import dev.caroblb.forwarding.quarantine.CrashReport;
import dev.caroblb.forwarding.quarantine.Evidence;
import dev.caroblb.forwarding.quarantine.PromptPart;
import dev.caroblb.forwarding.quarantine.SuspectPart;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;

class LoadCodecTest {
  private final LoadCodec codec = new LoadCodec();

  @Nested
  class RoundTrip {
    /** Guards against fields lost or swapped in encoding or decoding. */
    @Test
    void keepsEveryField() {
      List<TargetLoad> loads = List.of(new TargetLoad(new TargetId("t"), 1, 2, 3, 4));
      PlacementNeed need =
          new PlacementNeed(
              PlacementNeed.Purpose.MOVE,
              "service",
              5,
              6,
              Set.of(new TargetId("u")),
              new FailureDomain("zone"),
              true,
              7,
              8);
      List<LimitStatement> limits =
          List.of(
              new LimitStatement(new TargetRun(new TargetId("t"), 17), Optional.of(2.5), 18),
              new LimitStatement(new TargetRun(new TargetId("u"), 19), Optional.empty(), 20));
      Evidence evidence =
          new Evidence(
              List.of(
                  new CrashReport(
                      new TargetId("t"), 1, 2, List.of(new SuspectPart(new PromptPart("a"), 3)))),
              List.of(new AnsweredPart(new PromptPart("b"), 4)));
      for (PeerMessage message :
          List.of(
              new PeerMessage.LoadReport(8, loads),
              new PeerMessage.RemoteLoadReport(9, loads),
              new PeerMessage.PlacementRequest(10, need),
              new PeerMessage.PlacementReply(
                  11, 12, Optional.of(new TargetId("t")), Optional.empty()),
              new PeerMessage.PlacementQueued(13),
              new PeerMessage.PlacementCancelled(14),
              new PeerMessage.PermitReply(15, Optional.of(new TargetId("t")), Optional.empty()),
              new PeerMessage.PermitReply(16, Optional.empty(), Optional.of(17L)),
              new PeerMessage.LimitReport(limits, true),
              new PeerMessage.LimitAnnouncement(limits),
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
