package dev.caroblb.scheduling;

import static org.junit.jupiter.api.Assertions.assertEquals;

import dev.caroblb.core.InstanceId;
import dev.caroblb.core.TargetId;
import dev.caroblb.core.TargetRun;
import dev.caroblb.targets.TargetLoad;
import java.util.List;
import java.util.Optional;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;

class PlacementLedgerTest {
  private static final InstanceId A = new InstanceId("a");
  private static final InstanceId B = new InstanceId("b");
  private static final TargetRun RUN = new TargetRun(new TargetId("t"), 1);

  private final PlacementLedger ledger = new PlacementLedger(1_000);

  private static TargetLoad load(long requests) {
    return new TargetLoad(RUN.target(), 1, requests, 100 * requests, 0);
  }

  private Optional<TargetLoad> total() {
    return ledger.at(RUN, 0);
  }

  @Nested
  class UnreportedLoad {
    /** Guards against an engine that looks idle until the next report. */
    @Test
    void countsImmediately() {
      ledger.addGrant(A, 1, load(1), 10);
      ledger.addGrant(B, 1, load(1), 10);
      assertEquals(Optional.of(load(2)), total());
    }

    /** Guards against counting load both as granted and as reported. */
    @Test
    void isReplacedByTheReportThatIncludesIt() {
      ledger.addGrant(A, 1, load(1), 10);
      ledger.addGrant(A, 2, load(1), 11);
      ledger.reported(A, 1, List.of(load(1)), 20);
      assertEquals(Optional.of(load(2)), total());
      ledger.reported(A, 2, List.of(load(2)), 30);
      assertEquals(Optional.of(load(2)), total());
      ledger.reported(A, 2, List.of(), 40);
      assertEquals(Optional.empty(), total());
    }

    /** Guards against load that counts forever because its instance ended before reporting it. */
    @Test
    void expiresWhenNoReportIncludesIt() {
      ledger.addGrant(A, 7, load(1), 10);
      ledger.reported(A, 0, List.of(), 500);
      assertEquals(Optional.of(load(1)), total());
      ledger.reported(A, 0, List.of(), 1_010);
      assertEquals(Optional.empty(), total());
    }
  }

  @Nested
  class Instances {
    /** Guards against counting the load of an instance that has ended. */
    @Test
    void expireWithoutReports() {
      ledger.reported(A, 0, List.of(load(2)), 10);
      ledger.expire(1_009);
      assertEquals(Optional.of(load(2)), total());
      ledger.expire(1_010);
      assertEquals(Optional.empty(), total());
      assertEquals(List.of(), ledger.instances());
    }

    /** Guards against reporting the load of an instance to itself as remote load. */
    @Test
    void receiveTheLoadOfTheOthers() {
      ledger.reported(A, 0, List.of(load(2)), 10);
      ledger.addGrant(A, 1, load(1), 10);
      ledger.reported(B, 0, List.of(load(3)), 10);
      assertEquals(List.of(load(3)), ledger.totalsWithout(A));
      assertEquals(List.of(load(3)), ledger.totalsWithout(B));
    }
  }
}
