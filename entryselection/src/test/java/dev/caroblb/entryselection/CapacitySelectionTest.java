package dev.caroblb.entryselection;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import dev.caroblb.core.FailureDomain;
import dev.caroblb.core.InstanceId;
import dev.caroblb.membership.InstanceRecord;
import dev.caroblb.membership.InstanceResources;
import dev.caroblb.membership.InstanceState;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Random;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;

/** Entries of different sizes, crowded and full ones, and callers of one failure domain. */
class CapacitySelectionTest {
  private static final int ANSWERS = 4_000;
  private static final String[] DOMAINS = {"zone-a", "zone-b", "zone-c"};

  private final CapacitySelection selection = new CapacitySelection();
  private final Random random = new Random(1);
  private final List<InstanceRecord> entries = new ArrayList<>();

  private void add(int count, Optional<InstanceResources> resources) {
    for (int i = 0; i < count; i++) {
      int number = entries.size();
      entries.add(
          new InstanceRecord(
              new InstanceId("e" + number),
              1,
              InstanceState.READY,
              1,
              new FailureDomain(DOMAINS[number % DOMAINS.length]),
              "10.0.0." + number + ":80",
              resources));
    }
  }

  private static Optional<InstanceResources> size(long milliCores, long linkKbps, int freePercent) {
    return Optional.of(new InstanceResources(milliCores, linkKbps, freePercent));
  }

  /** Share of the callers that each entry gets if callers pick one named entry at random. */
  private Map<InstanceRecord, Double> shares(Optional<FailureDomain> domain) {
    Map<InstanceRecord, Double> shares = new HashMap<>();
    for (int i = 0; i < ANSWERS; i++) {
      List<InstanceRecord> named = selection.choose(entries, domain, random);
      named.forEach(entry -> shares.merge(entry, 1.0 / named.size() / ANSWERS, Double::sum));
    }
    return shares;
  }

  private double share(Map<InstanceRecord, Double> shares, int from, int to) {
    double sum = 0;
    for (int i = from; i < to; i++) {
      sum += shares.getOrDefault(entries.get(i), 0.0);
    }
    return sum;
  }

  @Nested
  class EqualEntries {
    /** Guards against answers that change where all entries have the same size. */
    @Test
    void areAllNamedUpToTheLimit() {
      add(9, size(750, 1_000_000, 100));
      assertEquals(
          new HashSet<>(entries),
          new HashSet<>(selection.choose(entries, Optional.empty(), random)));
      add(91, size(750, 1_000_000, 100));
      List<InstanceRecord> named = selection.choose(entries, Optional.empty(), random);
      assertEquals(64, named.size());
      assertEquals(64, new HashSet<>(named).size());
    }

    /** Guards against entries that are passed over because others report resources. */
    @Test
    void withoutResourcesAreNamedLikeOthers() {
      add(10, size(750, 1_000_000, 100));
      add(10, Optional.empty());
      assertEquals(20, selection.choose(entries, Optional.empty(), random).size());
    }
  }

  @Nested
  class UnevenEntries {
    /** Guards against small entries that get as many callers as large ones. */
    @Test
    void areNamedInProportionToTheirSize() {
      add(35, size(270, 5_250, 100));
      add(35, size(900, 17_500, 100));
      Map<InstanceRecord, Double> shares = shares(Optional.empty());
      assertEquals(0.3 / 1.3, share(shares, 0, 35), 0.02);
    }

    /** Guards against an entry whose link is crowded and that is named as often as before. */
    @Test
    void areNamedLessWhenCrowded() {
      add(10, size(360, 7_000, 20));
      add(20, size(360, 7_000, 100));
      Map<InstanceRecord, Double> shares = shares(Optional.empty());
      double ratio = share(shares, 0, 10) / 10 / (share(shares, 10, 30) / 20);
      assertEquals(1.0 / 3, ratio, 0.05);
    }

    /** Guards against entries that never get a caller though they serve. */
    @Test
    void areNeverStarved() {
      add(1, size(10, 100, 100));
      add(30, size(1_000, 100_000, 100));
      assertTrue(share(shares(Optional.empty()), 0, 1) > 0.08 / 31);
    }
  }

  @Nested
  class FullEntries {
    /** Guards against callers that are sent to an entry that has nothing left. */
    @Test
    void areNotNamed() {
      add(5, size(360, 7_000, 0));
      add(10, size(360, 7_000, 80));
      assertEquals(0, share(shares(Optional.empty()), 0, 5));
    }

    /** Guards against an answer without addresses when all entries are crowded. */
    @Test
    void areNamedIfThereAreNoOthers() {
      add(5, size(360, 7_000, 0));
      assertEquals(5, selection.choose(entries, Optional.empty(), random).size());
    }
  }

  @Nested
  class CallersOfADomain {
    private final Optional<FailureDomain> domain = Optional.of(new FailureDomain("zone-a"));

    /** Guards against bytes between domains for callers whose own domain has room. */
    @Test
    void areSentToTheirDomain() {
      add(60, size(360, 7_000, 100));
      Map<InstanceRecord, Double> shares = shares(domain);
      double local = 0;
      for (int i = 0; i < 60; i += DOMAINS.length) {
        local += shares.get(entries.get(i));
      }
      assertTrue(local > 0.85, local + " in the own domain");
      assertTrue(local < 1, "no address elsewhere");
    }

    /** Guards against callers that stay in a crowded domain while others have room. */
    @Test
    void overflowIntoOtherDomains() {
      for (int i = 0; i < 20; i++) {
        add(1, size(360, 7_000, 20));
        add(2, size(360, 7_000, 100));
      }
      Map<InstanceRecord, Double> shares = shares(domain);
      double local = 0;
      for (int i = 0; i < 60; i += DOMAINS.length) {
        local += shares.getOrDefault(entries.get(i), 0.0);
      }
      assertTrue(local < 0.2, local + " in the own domain");
    }

    /** Guards against too few addresses where a domain has few entries. */
    @Test
    void areSentToAllEntriesOfASmallSystem() {
      add(9, size(750, 1_000_000, 100));
      assertEquals(9, selection.choose(entries, domain, random).size());
    }
  }
}
