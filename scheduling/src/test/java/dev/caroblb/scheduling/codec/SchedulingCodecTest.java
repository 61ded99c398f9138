package dev.caroblb.scheduling.codec;

import static org.junit.jupiter.api.Assertions.assertEquals;

import dev.caroblb.core.FailureDomain;
import dev.caroblb.core.Payload;
import dev.caroblb.core.SoftwareVersion;
import dev.caroblb.core.TargetId;
import dev.caroblb.core.TargetRun;
import dev.caroblb.scheduling.PeerMessage;
import dev.caroblb.targets.PlacementNeed;
import dev.caroblb.targets.SpeedObservation;
import dev.caroblb.targets.SpeedSample;
import dev.caroblb.targets.TargetLoad;
import dev.caroblb.targets.TargetSpeed;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;

class SchedulingCodecTest {
  private final SchedulingCodec codec = new SchedulingCodec();

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
              8,
              Optional.of("workspace"),
              Optional.of("request:0123456789abcdef"),
              9,
              10,
              11,
              12,
              Optional.of(new SoftwareVersion("v1.1")));
      TargetRun run = new TargetRun(new TargetId("t"), 1);
      List<SpeedObservation> observations =
          List.of(new SpeedObservation(run, List.of(new SpeedSample(2, 3, 4))));
      List<TargetSpeed> speeds = List.of(new TargetSpeed(run, 700, 71, List.of(5L, 6L)));
      for (PeerMessage message :
          List.of(
              new PeerMessage.LoadReport(8, loads, observations),
              new PeerMessage.RemoteLoadReport(9, loads, speeds),
              new PeerMessage.PlacementRequest(10, need),
              new PeerMessage.PlacementReply(
                  11, 12, Optional.of(new TargetId("t")), Optional.empty()),
              new PeerMessage.PlacementQueued(13),
              new PeerMessage.PlacementCancelled(14),
              new PeerMessage.PermitReply(15, Optional.of(new TargetId("t")), Optional.empty()),
              new PeerMessage.PermitReply(16, Optional.empty(), Optional.of(17L)),
              new PeerMessage.PlacementRejected(18, 19))) {
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
