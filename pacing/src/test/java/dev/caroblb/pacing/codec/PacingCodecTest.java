package dev.caroblb.pacing.codec;

import static org.junit.jupiter.api.Assertions.assertEquals;

import dev.caroblb.core.Payload;
import dev.caroblb.core.TargetId;
import dev.caroblb.core.TargetRun;
import dev.caroblb.pacing.LimitStatement;
import dev.caroblb.pacing.PeerMessage;
import dev.caroblb.pacing.RunOutcomes;
import dev.caroblb.pacing.WarmUpStatement;
import java.util.List;
import java.util.Optional;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;

class PacingCodecTest {
  private final PacingCodec codec = new PacingCodec();

  @Nested
  class RoundTrip {
    /** Guards against fields lost or swapped in encoding or decoding. */
    @Test
    void keepsEveryField() {
      List<LimitStatement> limits =
          List.of(
              new LimitStatement(new TargetRun(new TargetId("t"), 17), Optional.of(2.5), 18),
              new LimitStatement(new TargetRun(new TargetId("u"), 19), Optional.empty(), 20));
      List<WarmUpStatement> warmUps =
          List.of(new WarmUpStatement(new TargetRun(new TargetId("v"), 21), 22, 23));
      List<RunOutcomes> outcomes =
          List.of(new RunOutcomes(new TargetRun(new TargetId("w"), 24), 25, 26, 27, 28));
      for (PeerMessage message :
          List.of(
              new PeerMessage.LimitReport(limits, true),
              new PeerMessage.LimitAnnouncement(limits),
              new PeerMessage.PaceReport(warmUps, outcomes, limits),
              new PeerMessage.PaceAnnouncement(warmUps, limits))) {
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
