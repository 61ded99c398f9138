package dev.caroblb.membership;

import static dev.caroblb.membership.Announcements.ENGINE;
import static dev.caroblb.membership.Announcements.alive;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import dev.caroblb.core.PeerEnvelope;
import java.util.Map;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;

/** Tests what an instance announces because another duty of the same process observed it. */
class LocalObservationsTest {
  private final Cluster cluster = new Cluster(3, 1);
  private final Node first = cluster.nodes.get(0);
  private final Node second = cluster.nodes.get(1);

  @BeforeEach
  void exchangeHeartbeats() {
    cluster.advance(1_200);
  }

  private void announce(Node entry, Announcement announcement) {
    entry.announce(announcement, cluster.nowMs);
    cluster.collect();
  }

  @Nested
  class InstalledConfiguration {
    private boolean announced(long number) {
      return first.sent.stream()
          .map(PeerEnvelope::message)
          .anyMatch(
              message ->
                  message instanceof PeerMessage.Heartbeat heartbeat
                      && heartbeat.configuration() == number);
    }

    /**
     * Guards against look-ups that omit an instance after its start until its next heartbeat,
     * although it serves. After a restart of all instances callers have no other one.
     */
    @Test
    void isAnnouncedAtOnceIfItIsTheFirst() {
      first.handle(new MembershipMessage.ConfigurationInstalled(1), cluster.nowMs);
      assertTrue(announced(1));
      first.sent.clear();
      first.handle(new MembershipMessage.ConfigurationInstalled(2), cluster.nowMs);
      assertFalse(announced(2));
    }
  }

  @Nested
  class LeavingSaidInAResponse {
    private void observe(Node node, long incarnation) {
      node.handle(new MembershipMessage.LeavingObserved(ENGINE, incarnation), cluster.nowMs);
      cluster.collect();
    }

    /** Guards against instances that send requests to a target which told only one of them. */
    @Test
    void reachesEveryInstance() {
      announce(first, alive(1, 1));
      cluster.advance(50);
      observe(second, 1);
      cluster.advance(50);
      announce(first, alive(1, 2));
      cluster.advance(50);
      for (Node node : cluster.nodes) {
        assertEquals(Map.of(), node.available);
      }
    }

    /** Guards against a late response that makes a restarted target unavailable. */
    @Test
    void ofAnEarlierRunChangesNothing() {
      announce(first, alive(2, 1));
      cluster.advance(50);
      observe(second, 1);
      cluster.advance(50);
      assertEquals(Map.of(ENGINE, 2L), second.available);
    }
  }
}
