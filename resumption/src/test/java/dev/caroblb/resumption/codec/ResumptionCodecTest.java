package dev.caroblb.resumption.codec;

import static org.junit.jupiter.api.Assertions.assertEquals;

import dev.caroblb.core.Payload;
import dev.caroblb.core.SoftwareVersion;
import dev.caroblb.resumption.PeerMessage;
import dev.caroblb.resumption.StreamOrigin;
import java.util.List;
import java.util.Optional;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;

class ResumptionCodecTest {
  private final ResumptionCodec codec = new ResumptionCodec();

  @Nested
  class RoundTrip {
    /** Guards against fields lost or swapped in encoding or decoding. */
    @Test
    void keepsEveryField() {
      StreamOrigin origin = new StreamOrigin("größe", new SoftwareVersion("v1.1"));
      for (PeerMessage message :
          List.of(
              new PeerMessage.StreamBegan("a", origin, 3),
              new PeerMessage.OriginQuery("b"),
              new PeerMessage.OriginReply("c", Optional.of(origin)),
              new PeerMessage.OriginReply("d", Optional.empty()),
              new PeerMessage.RecordsRequest(4),
              new PeerMessage.RecordsPage(
                  4, 9, true, List.of(new PeerMessage.StreamBegan("e", origin, 5))))) {
        assertEquals(Optional.of(message), codec.decode(codec.encode(message)));
      }
    }
  }

  @Nested
  class InvalidMessages {
    /** Guards against records of unbounded size, and against an exception for invalid bytes. */
    @Test
    void areRejected() {
      String attempt = "a".repeat(PeerMessage.MAX_ATTEMPT_BYTES + 1);
      assertEquals(
          Optional.empty(), codec.decode(codec.encode(new PeerMessage.OriginQuery(attempt))));
      assertEquals(Optional.empty(), codec.decode(Payload.ofText("x")));
    }
  }
}
