package dev.caroblb.resumption;

import static org.junit.jupiter.api.Assertions.assertEquals;

import dev.caroblb.core.InstanceId;
import dev.caroblb.core.PeerEnvelope;
import dev.caroblb.core.SoftwareVersion;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import java.util.stream.IntStream;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;

class OriginClientTest {
  private static final StreamOrigin V1 = new StreamOrigin("service", new SoftwareVersion("v1"));
  private static final OriginClient.Finding UNKNOWN = new OriginClient.Finding.Unknown();

  private final List<PeerEnvelope<PeerMessage>> sent = new ArrayList<>();
  private final OriginClient client = new OriginClient(sent::add);

  private static List<InstanceId> instances(int count) {
    return IntStream.range(0, count).mapToObj(i -> new InstanceId("control-" + i)).toList();
  }

  private static PeerMessage.OriginReply reply(Optional<StreamOrigin> origin) {
    return new PeerMessage.OriginReply("a", origin);
  }

  private Set<InstanceId> receivers() {
    Set<InstanceId> receivers = new HashSet<>();
    sent.forEach(each -> receivers.add(each.peer()));
    sent.clear();
    return receivers;
  }

  @Nested
  class Holders {
    /** Guards against a query that misses the instances with the record. */
    @Test
    void areThreeAndTheSameForRecordAndQuery() {
      client.setControlInstances(instances(46));
      for (int i = 0; i < 100; i++) {
        client.began("a" + i, V1, 1_000, 0);
        Set<InstanceId> holders = receivers();
        OriginClient other = new OriginClient(sent::add);
        other.setControlInstances(instances(46));
        assertEquals(new OriginClient.Finding.Asked(), other.findOrAsk("a" + i, 1));
        assertEquals(holders, receivers());
        assertEquals(3, holders.size());
      }
    }
  }

  @Nested
  class Replies {
    /**
     * Guards against a restarted control instance whose empty reply hides the record of another.
     */
    @Test
    void areUnknownOnlyIfAllSaySo() {
      client.setControlInstances(instances(3));
      assertEquals(new OriginClient.Finding.Asked(), client.findOrAsk("a", 0));
      assertEquals(Optional.empty(), client.replied(reply(Optional.empty())));
      assertEquals(
          Optional.of(new OriginClient.Finding.Known(V1)), client.replied(reply(Optional.of(V1))));
      assertEquals(Optional.empty(), client.replied(reply(Optional.empty())));
    }

    /** Guards against a wait although every holder has replied. */
    @Test
    void endTheQueryWithTheLastOne() {
      client.setControlInstances(instances(2));
      assertEquals(new OriginClient.Finding.Asked(), client.findOrAsk("a", 0));
      assertEquals(Optional.empty(), client.replied(reply(Optional.empty())));
      assertEquals(Optional.of(UNKNOWN), client.replied(reply(Optional.empty())));
    }

    /** Guards against a query to nobody. */
    @Test
    void areNotExpectedWithoutControlInstances() {
      assertEquals(UNKNOWN, client.findOrAsk("a", 0));
      client.setControlInstances(instances(1));
      assertEquals(UNKNOWN, client.findOrAsk("a".repeat(PeerMessage.MAX_ATTEMPT_BYTES + 1), 0));
    }
  }

  @Nested
  class Pages {
    private final InstanceId restarted = new InstanceId("control-7");

    /** Asks for all records as the instance does that has restarted; returns their attempts. */
    private List<String> transfer(long nowMs) {
      List<String> attempts = new ArrayList<>();
      long after = 0;
      while (true) {
        sent.clear();
        client.recordsRequested(restarted, new PeerMessage.RecordsRequest(after), nowMs);
        assertEquals(restarted, sent.get(0).peer());
        PeerMessage.RecordsPage page = (PeerMessage.RecordsPage) sent.get(0).message();
        assertEquals(after, page.after());
        page.records().forEach(record -> attempts.add(record.attempt()));
        if (page.last()) {
          return attempts;
        }
        after = page.next();
      }
    }

    /** Guards against a holder that misses records, or gets those that others hold. */
    @Test
    void holdWhatTheRequesterIsToKnow() {
      client.setControlInstances(instances(46));
      List<String> expected = new ArrayList<>();
      for (int i = 0; i < 2_000; i++) {
        client.began("a" + i, V1, 1_000, 0);
        if (receivers().contains(restarted)) {
          expected.add("a" + i);
        }
      }
      assertEquals(expected, transfer(1));
    }

    /** Guards against a successor at a new address that the entry has not heard of yet. */
    @Test
    void areSentToAControlInstanceThatIsNotKnownYet() {
      client.setControlInstances(instances(2));
      IntStream.range(0, 100).forEach(i -> client.began("a" + i, V1, 1_000, 0));
      assertEquals(100, transfer(1).size());
    }

    /** Guards against records that live longer at the holder than at their entry. */
    @Test
    void keepTheTimeThatIsLeft() {
      client.setControlInstances(instances(1));
      client.began("a", V1, 1_000, 0);
      client.began("b", V1, 5_000, 0);
      sent.clear();
      client.recordsRequested(restarted, new PeerMessage.RecordsRequest(0), 3_000);
      assertEquals(
          new PeerMessage.RecordsPage(
              0, 2, true, List.of(new PeerMessage.StreamBegan("b", V1, 2_000))),
          sent.get(0).message());
    }
  }
}
