package dev.caroblb.resumption;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import dev.caroblb.core.InstanceId;
import dev.caroblb.core.PeerEnvelope;
import dev.caroblb.core.SoftwareVersion;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Set;
import java.util.stream.Collectors;
import java.util.stream.IntStream;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;

class ResumptionHandlerTest {
  private static final StreamOrigin V1 = new StreamOrigin("service", new SoftwareVersion("v1"));
  private static final InstanceId ENTRY = new InstanceId("entry-0");

  private final List<PeerEnvelope<PeerMessage>> sent = new ArrayList<>();
  private final List<PeerMessage.StreamBegan> stored = new ArrayList<>();
  private final ResumptionHandler handler =
      new ResumptionHandler(sent::add, stored::add, List.of(), 0);

  private static Set<InstanceId> instances(String role, int count) {
    return IntStream.range(0, count)
        .mapToObj(i -> new InstanceId(role + "-" + i))
        .collect(Collectors.toSet());
  }

  private void known(int entries, int controls, long nowMs) {
    handler.handle(
        new ResumptionMessage.InstancesChanged(
            instances("entry", entries), instances("control", controls)),
        nowMs);
  }

  private void reply(InstanceId entry, PeerMessage.RecordsPage page, long nowMs) {
    handler.handle(new ResumptionMessage.FromPeer(new PeerEnvelope<>(entry, page)), nowMs);
  }

  /** Runs the handler until a time; returns the entries that it asked and how often in total. */
  private int asked(long fromMs, long toMs) {
    sent.clear();
    for (long nowMs = fromMs; nowMs < toMs; nowMs += 10) {
      if (handler.nextTickMs() <= nowMs) {
        handler.tick(nowMs);
      }
    }
    return sent.size();
  }

  private static PeerMessage.RecordsPage page(long after, long next, boolean last) {
    return new PeerMessage.RecordsPage(
        after, next, last, List.of(new PeerMessage.StreamBegan("a" + next, V1, 30_000)));
  }

  @Nested
  class AfterAStart {
    /** Guards against an entry whose records are never asked for, or asked for without end. */
    @Test
    void asksEachEntryUntilItHasReplied() {
      known(2, 2, 0);
      assertEquals(2, asked(0, 1_000));
      reply(ENTRY, page(0, 5, true), 1_000);
      assertEquals(1, asked(1_000, 2_000));
      assertEquals(new InstanceId("entry-1"), sent.get(0).peer());
      reply(new InstanceId("entry-1"), page(0, 6, true), 2_000);
      assertEquals(0, asked(2_000, 10_000));
      assertEquals(Long.MAX_VALUE, handler.nextTickMs());
    }

    /** Guards against a page that is lost, or counted twice after a repeated request. */
    @Test
    void continuesAfterTheLastPage() {
      known(1, 2, 0);
      assertEquals(1, asked(0, 100));
      reply(ENTRY, page(0, 64, false), 100);
      reply(ENTRY, page(0, 64, false), 100);
      assertEquals(1, asked(100, 300));
      assertEquals(new PeerMessage.RecordsRequest(64), sent.get(0).message());
    }

    /** Guards against a burst of requests or pages in a large system. */
    @Test
    void boundsItsRequests() {
      known(1_100, 46, 0);
      assertTrue(asked(0, 100) <= 32);
      assertTrue(asked(100, 1_000) <= 9 * 32);
    }

    /** Guards against requests without end to an entry that never replies. */
    @Test
    void givesUpWhenTheStreamsHaveEnded() {
      known(1, 2, 0);
      assertTrue(asked(0, 120_000) > 100);
      assertEquals(0, asked(120_000, 130_000));
    }
  }

  @Nested
  class AfterAChangeOfInstances {
    private void catchUp(int entries) {
      asked(0, 1_000);
      instances("entry", entries).forEach(entry -> reply(entry, page(0, 1, true), 1_000));
    }

    /** Guards against records whose holders have moved to this instance and that it never gets. */
    @Test
    void asksAgainIfHoldersMove() {
      known(2, 5, 0);
      catchUp(2);
      known(2, 4, 2_000);
      assertEquals(2, asked(2_000, 2_500));
    }

    /** Guards against requests for records that all control instances have already. */
    @Test
    void asksOnlyNewEntriesIfHoldersStay() {
      known(2, 2, 0);
      catchUp(2);
      known(3, 1, 2_000);
      assertEquals(1, asked(2_000, 2_500));
    }
  }

  @Nested
  class Records {
    /** Guards against records that are stored again each time an entry repeats them. */
    @Test
    void areStoredOnce() {
      known(1, 2, 0);
      asked(0, 100);
      reply(ENTRY, page(0, 1, true), 100);
      PeerMessage began = new PeerMessage.StreamBegan("a1", V1, 30_000);
      handler.handle(new ResumptionMessage.FromPeer(new PeerEnvelope<>(ENTRY, began)), 200);
      assertEquals(1, stored.size());
      assertEquals(1, handler.size());
    }

    /** Guards against a restart that forgets what the disk has. */
    @Test
    void areRestored() {
      ResumptionHandler restarted =
          new ResumptionHandler(
              sent::add,
              stored::add,
              List.of(new PeerMessage.StreamBegan("a1", V1, 30_000)),
              1_000);
      PeerMessage query = new PeerMessage.OriginQuery("a1");
      restarted.handle(new ResumptionMessage.FromPeer(new PeerEnvelope<>(ENTRY, query)), 2_000);
      PeerMessage.OriginReply reply = (PeerMessage.OriginReply) sent.get(0).message();
      assertEquals(V1, reply.origin().orElseThrow());
      assertEquals(Set.of(), new HashSet<>(stored));
    }
  }
}
