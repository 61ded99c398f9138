package dev.caroblb.forwarding;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;

class RetryBudgetTest {
  private static final double RATIO = 0.2;
  private static final long WINDOW_MS = 10_000;
  private static final double SLACK = 160;

  /** Instances that share the slack. */
  private static final int INSTANCES = 74;

  private final RetryBudget budget = new RetryBudget(RATIO, WINDOW_MS, SLACK);

  private int taken(long nowMs) {
    int taken = 0;
    while (budget.tryRetry("s", nowMs)) {
      taken++;
    }
    return taken;
  }

  @Nested
  class Window {
    /** Guards against more retries in a window than the share of this instance. */
    @Test
    void limitsRetries() {
      for (int i = 0; i < 100; i++) {
        budget.recordRequest("s", i);
      }
      int taken = taken(100);
      assertTrue(taken > 0 && taken <= RATIO * 100 + SLACK / 16, "taken " + taken);
      assertFalse(budget.tryRetry("s", 5_000));
    }

    /** Guards against every instance using the whole slack. */
    @Test
    void theSlackIsSharedByAll() {
      budget.setInstances(INSTANCES);
      assertTrue(taken(0) * INSTANCES <= SLACK);
    }

    /** Guards against old retries that never leave the window. */
    @Test
    void slides() {
      int first = taken(0);
      assertEquals(first, taken(WINDOW_MS));
    }

    /** Guards against one service using up the budget of another. */
    @Test
    void isSeparateForEachService() {
      taken(0);
      assertTrue(budget.tryRetry("other", 0));
    }
  }
}
