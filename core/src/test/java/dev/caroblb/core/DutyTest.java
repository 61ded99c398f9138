package dev.caroblb.core;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.util.concurrent.BlockingQueue;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;

class DutyTest {
  private static final long TIMEOUT_S = 10;

  private final BlockingQueue<String> handled = new LinkedBlockingQueue<>();
  private final Duty<Runnable> duty =
      new Duty<>("test", 16, new RunningHandler(), new SystemMillisClock());

  /** Runs each message. */
  private static final class RunningHandler implements DutyHandler<Runnable> {
    @Override
    public void handle(Runnable message, long nowMs) {
      message.run();
    }

    @Override
    public void tick(long nowMs) {}

    @Override
    public long nextTickMs() {
      return Long.MAX_VALUE;
    }
  }

  @BeforeEach
  void start() {
    duty.start();
  }

  @AfterEach
  void stop() {
    duty.close();
  }

  private void assertContinuesAfter(Runnable faulty) throws InterruptedException {
    duty.offer(faulty);
    duty.offer(() -> handled.add("next"));
    assertEquals("next", handled.poll(TIMEOUT_S, TimeUnit.SECONDS));
    assertEquals(1, duty.faults());
  }

  @Nested
  class FaultyMessage {
    /** Guards against a duty that ends with an exception and leaves its messages unhandled. */
    @Test
    void withAnException() throws InterruptedException {
      assertContinuesAfter(
          () -> {
            throw new IllegalStateException("faulty message");
          });
    }

    /** Guards against a deeply nested message that ends the thread of a duty. */
    @Test
    void withAStackOverflow() throws InterruptedException {
      assertContinuesAfter(
          () -> {
            throw new StackOverflowError("faulty message");
          });
    }

    /** Guards against a class that cannot be loaded and ends the thread of a duty. */
    @Test
    void withAMissingClass() throws InterruptedException {
      assertContinuesAfter(
          () -> {
            throw new NoClassDefFoundError("missing");
          });
    }
  }
}
