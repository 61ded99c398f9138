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

  private static TargetWork work(long requests) {
    return new TargetWork(RUN.target(), 1, requests, 100 * requests, 0);
  }

  private Optional<TargetWork> total() {
    return ledger.at(RUN, 0);
  }

  @Nested
  class WorkOnItsWay {
    /** Guards against an engine that looks idle until the next statement. */
    @Test
    void countsAtOnce() {
      ledger.granted(A, 1, work(1), 10);
      ledger.granted(B, 1, work(1), 10);
      assertEquals(Optional.of(work(2)), total());
    }

    /** Guards against work that is counted as given and as stated. */
    @Test
    void isReplacedByTheStatementThatIncludesIt() {
      ledger.granted(A, 1, work(1), 10);
      ledger.granted(A, 2, work(1), 11);
      ledger.stated(A, 1, List.of(work(1)), 20);
      assertEquals(Optional.of(work(2)), total());
      ledger.stated(A, 2, List.of(work(2)), 30);
      assertEquals(Optional.of(work(2)), total());
      ledger.stated(A, 2, List.of(), 40);
      assertEquals(Optional.empty(), total());
    }

    /** Guards against work that an instance was given just before it ended. */
    @Test
    void isForgottenWhenNoStatementIncludesIt() {
      ledger.granted(A, 7, work(1), 10);
      ledger.stated(A, 0, List.of(), 500);
      assertEquals(Optional.of(work(1)), total());
      ledger.stated(A, 0, List.of(), 1_010);
      assertEquals(Optional.empty(), total());
    }
  }

  @Nested
  class Instances {
    /** Guards against the work of an instance that is gone. */
    @Test
    void areForgottenAfterSilence() {
      ledger.stated(A, 0, List.of(work(2)), 10);
      ledger.expire(1_009);
      assertEquals(Optional.of(work(2)), total());
      ledger.expire(1_010);
      assertEquals(Optional.empty(), total());
      assertEquals(List.of(), ledger.instances());
    }

    /** Guards against an instance that is told its own work as that of others. */
    @Test
    void areToldTheWorkOfTheOthers() {
      ledger.stated(A, 0, List.of(work(2)), 10);
      ledger.granted(A, 1, work(1), 10);
      ledger.stated(B, 0, List.of(work(3)), 10);
      assertEquals(List.of(work(3)), ledger.without(A));
      assertEquals(List.of(work(3)), ledger.without(B));
    }
  }
}
