package dev.caroblb.core;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;

class FatalErrorsTest {
  private static final long WAIT_MS = 5_000;

  private final Thread.UncaughtExceptionHandler before =
      Thread.getDefaultUncaughtExceptionHandler();
  private final List<String> lines = new ArrayList<>();
  private final CountDownLatch halted = new CountDownLatch(1);

  @AfterEach
  void restore() {
    Thread.setDefaultUncaughtExceptionHandler(before);
  }

  /** Handler whose first message fails with the given error. */
  private record Failing(Error error) implements DutyHandler<String> {
    @Override
    public void handle(String message, long nowMs) {
      throw error;
    }

    @Override
    public void tick(long nowMs) {}

    @Override
    public long nextTickMs() {
      return Long.MAX_VALUE;
    }
  }

  @Nested
  class DutyThread {
    private boolean haltsAfter(Error error, long waitMs) throws InterruptedException {
      new FatalErrors(lines::add, halted::countDown).install();
      try (Duty<String> duty =
          new Duty<>("routing", 8, new Failing(error), new SystemMillisClock())) {
        duty.start();
        assertTrue(duty.offer("message"));
        return halted.await(waitMs, TimeUnit.MILLISECONDS);
      }
    }

    /** Guards against a process that runs on after a duty ended for lack of memory. */
    @Test
    void endsTheProcessIfMemoryRunsOut() throws InterruptedException {
      assertTrue(haltsAfter(new OutOfMemoryError("Java heap space"), WAIT_MS));
      assertEquals(
          List.of(
              "event=process.failed part=routing"
                  + " cause=\"java.lang.OutOfMemoryError: Java heap space\""),
          lines);
    }

    /** Guards against a process that ends for one faulty message. */
    @Test
    void survivesAStackOverflow() throws InterruptedException {
      assertEquals(false, haltsAfter(new StackOverflowError(), 100));
    }
  }

  @Nested
  class SecondFailure {
    /** Guards against a log that fills while the process ends. */
    @Test
    void isNotLogged() {
      AtomicInteger halts = new AtomicInteger();
      FatalErrors errors = new FatalErrors(lines::add, halts::incrementAndGet);
      errors.report("routing", new OutOfMemoryError());
      errors.report("transport", new OutOfMemoryError());
      assertEquals(1, lines.size());
      assertEquals(2, halts.get());
    }
  }

  @Nested
  class FailedLog {
    /** Guards against a process that stays because there is no memory for a log line. */
    @Test
    void endsTheProcessNevertheless() {
      FatalErrors errors =
          new FatalErrors(
              line -> {
                throw new OutOfMemoryError();
              },
              halted::countDown);
      assertThrows(OutOfMemoryError.class, () -> errors.report("routing", new Error()));
      assertEquals(0, halted.getCount());
    }
  }
}
