package dev.caroblb.forwarding;

import static org.junit.jupiter.api.Assertions.assertEquals;

import dev.caroblb.core.InstanceId;
import dev.caroblb.core.TargetId;
import java.util.List;
import java.util.Optional;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;

class PlacementLedgerTest {
  private static final InstanceId A = new InstanceId("a");
  private static final InstanceId B = new InstanceId("b");
  private static final TargetRun RUN = new TargetRun(new TargetId("t"), 1);

  private final PlacementLedger ledger = new PlacementLedger(1_000);

  private static TargetLoad work(long requests) {
    return new TargetLoad(RUN.target(), 1, requests, 100 * requests, 0);
  }

  private Optional<TargetLoad> total() {
    return ledger.at(RUN, 0);
  }

  @Nested
  class WorkOnItsWay {
    /** Guards against an engine that looks idle until the next statement. */
    @Test
    void countsAtOnce() {
      ledger.addGrant(A, 1, work(1), 10);
      ledger.addGrant(B, 1, work(1), 10);
      assertEquals(Optional.of(work(2)), total());
    }

    /** Guards against work that is counted as given and as stated. */
    @Test
    void isReplacedByTheStatementThatIncludesIt() {
      ledger.addGrant(A, 1, work(1), 10);
      ledger.addGrant(A, 2, work(1), 11);
      ledger.reported(A, 1, List.of(work(1)), 20);
      assertEquals(Optional.of(work(2)), total());
      ledger.reported(A, 2, List.of(work(2)), 30);
      assertEquals(Optional.of(work(2)), total());
      ledger.reported(A, 2, List.of(), 40);
      assertEquals(Optional.empty(), total());
    }

    /** Guards against work that an instance was given just before it ended. */
    @Test
    void isForgottenWhenNoStatementIncludesIt() {
      ledger.addGrant(A, 7, work(1), 10);
      ledger.reported(A, 0, List.of(), 500);
      assertEquals(Optional.of(work(1)), total());
      ledger.reported(A, 0, List.of(), 1_010);
      assertEquals(Optional.empty(), total());
    }
  }

  @Nested
  class Instances {
    /** Guards against the work of an instance that is gone. */
    @Test
    void areForgottenAfterSilence() {
      ledger.reported(A, 0, List.of(work(2)), 10);
      ledger.expire(1_009);
      assertEquals(Optional.of(work(2)), total());
      ledger.expire(1_010);
      assertEquals(Optional.empty(), total());
      assertEquals(List.of(), ledger.instances());
    }

    /** Guards against an instance that is told its own work as that of others. */
    @Test
    void areToldTheWorkOfTheOthers() {
      ledger.reported(A, 0, List.of(work(2)), 10);
      ledger.addGrant(A, 1, work(1), 10);
      ledger.reported(B, 0, List.of(work(3)), 10);
      assertEquals(List.of(work(3)), ledger.totalsWithout(A));
      assertEquals(List.of(work(3)), ledger.totalsWithout(B));
    }
  }
}
