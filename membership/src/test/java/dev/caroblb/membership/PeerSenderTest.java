package dev.caroblb.membership;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import dev.caroblb.core.InstanceId;
import dev.caroblb.core.PeerEnvelope;
import dev.caroblb.core.TargetId;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Set;
import java.util.stream.IntStream;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;

class PeerSenderTest {
  private final List<PeerEnvelope<PeerMessage>> sent = new ArrayList<>();
  private final PeerSender sender =
      new PeerSender(
          new FixedTopology(Set.of(new InstanceId("a"), new InstanceId("b"))),
          sent::add,
          new TransitTimes(1));

  private void digest(int targets) {
    sender.sendDigests(
        IntStream.range(0, targets)
            .mapToObj(i -> new TargetSummary(new TargetId("t" + i), 1, 1, false))
            .toList());
  }

  @Nested
  class DigestOfManyTargets {
    /**
     * Guards against digests that exceed the network budget, and against targets that no digest
     * contains.
     */
    @Test
    void isSentInPartsToEveryPeerInTurn() {
      Set<InstanceId> peers = new HashSet<>();
      Set<TargetSummary> named = new HashSet<>();
      for (int second = 0; second < 3; second++) {
        digest(1_000);
      }
      assertEquals(3, sent.size());
      for (PeerEnvelope<PeerMessage> message : sent) {
        List<TargetSummary> part = ((PeerMessage.Digest) message.message()).targets();
        assertTrue(part.size() <= PeerSender.MAX_SUMMARIES_PER_ROUND);
        peers.add(message.peer());
        named.addAll(part);
      }
      assertEquals(2, peers.size());
      assertEquals(1_000, named.size());
    }
  }

  @Nested
  class DigestOfFewTargets {
    /** Guards against a lost leave notice that is recovered only after more than one second. */
    @Test
    void goesToEveryPeer() {
      digest(12);
      assertEquals(2, sent.size());
    }
  }
}
