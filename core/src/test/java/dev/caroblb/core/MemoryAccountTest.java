package dev.caroblb.core;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;

class MemoryAccountTest {
  private static final long LIMIT = 1 << 20;

  private final MemoryAccount account = new MemoryAccount(LIMIT, Runnable::run);
  private final List<String> run = new ArrayList<>();

  @Nested
  class AtTheBound {
    /** Guards against work that is begun with the memory that is needed to complete other work. */
    @Test
    void newWorkStopsFirst() {
      account.take(LIMIT / 8 * 7);
      assertFalse(account.admitsNew());
      assertFalse(account.full());
      account.take(LIMIT / 8);
      assertTrue(account.full());
    }

    /** Guards against a bound that is exceeded without end by what is in use already. */
    @Test
    void isReportedOnceItIsFarExceeded() {
      account.take(LIMIT + LIMIT / 2);
      assertFalse(account.exceeded());
      account.take(1);
      assertTrue(account.exceeded());
    }
  }

  @Nested
  class HoldersThatNeedMore {
    /** Guards against holders that wait for each other for good. */
    @Test
    void continueOneAfterTheOther() {
      account.take(LIMIT);
      assertTrue(account.mayExceed("a"));
      assertFalse(account.mayExceed("b"));
      account.whenFree(() -> run.add("b"));
      account.finished("b");
      assertEquals(List.of(), run);
      account.finished("a");
      assertEquals(List.of("b"), run);
      assertTrue(account.mayExceed("b"));
    }
  }

  @Nested
  class WaitingActions {
    /** Guards against actions that all continue at once and take many times the bound. */
    @Test
    void continueInTheirOrderAsMemoryIsFreed() {
      account.take(LIMIT);
      for (String name : List.of("a", "b", "c")) {
        account.whenFree(() -> run.add(name));
      }
      account.release(65_536);
      assertEquals(List.of("a"), run);
      account.release(65_536);
      assertEquals(List.of("a", "b", "c"), run);
    }

    /** Guards against an action that waits although memory was freed before it was added. */
    @Test
    void runAtOnceWhileMemoryIsFree() {
      account.whenFree(() -> run.add("a"));
      assertEquals(List.of("a"), run);
    }

    /** Guards against an action that runs for a closed connection. */
    @Test
    void doNotRunAfterTheirRemoval() {
      account.take(LIMIT);
      Runnable action = () -> run.add("a");
      account.whenFree(action);
      account.remove(action);
      account.release(LIMIT);
      assertEquals(List.of(), run);
    }
  }
}
