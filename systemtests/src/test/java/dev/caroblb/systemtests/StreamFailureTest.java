package dev.caroblb.systemtests;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;

/** Streams while entries and engines are killed. */
@Timeout(value = 240, unit = TimeUnit.SECONDS)
class StreamFailureTest {
  private static final String WORKSPACE = "vikar-care";
  private static final String PROMPT = "tokens=200 interval_ms=10";
  private static final int TOKENS = 200;
  private static final long TIMEOUT_S = 60;

  private final TestCaller caller = new TestCaller();
  private TestCluster cluster;

  @BeforeEach
  void start() throws Exception {
    cluster = new TestCluster(3, 3);
    SystemProbe probe = new SystemProbe(cluster, caller);
    probe.startWithTeamFiles();
    cluster.startEngine("planner-1", "domain-1", "plan-llm@2");
    probe.awaitTargets(1);
  }

  @AfterEach
  void stop() throws Exception {
    cluster.close();
  }

  /** Starts a plan and returns once its first tokens have arrived. */
  private CompletableFuture<TestCaller.StreamResult> startPlan(String entry) throws Exception {
    CountDownLatch firstTokens = new CountDownLatch(5);
    CompletableFuture<TestCaller.StreamResult> stream =
        CompletableFuture.supplyAsync(
            () -> {
              try {
                return caller.stream(
                    cluster.address(entry),
                    WORKSPACE,
                    "plan",
                    PROMPT,
                    sequence -> firstTokens.countDown());
              } catch (Exception e) {
                throw new IllegalStateException(e);
              }
            });
    assertTrue(firstTokens.await(TIMEOUT_S, TimeUnit.SECONDS), "the plan did not start");
    return stream;
  }

  @Nested
  class EntryDies {
    /** Guards against lost, repeated or mixed tokens when a stream is resumed at another entry. */
    @Test
    void callerContinuesTheSameGenerationElsewhere() throws Exception {
      CompletableFuture<TestCaller.StreamResult> pending = startPlan("entry-3");
      cluster.instance("entry-3").kill();
      TestCaller.StreamResult first = pending.get(TIMEOUT_S, TimeUnit.SECONDS);
      assertFalse(first.finalEvent().isPresent(), "the killed entry sent a final event");
      TestCaller.StreamResult rest =
          caller.resume(
              cluster.address("entry-1"), WORKSPACE, first.generation(), first.lastSequence());
      assertEquals(first.generation(), rest.generation());
      assertEquals(first.lastSequence() + 1, rest.firstSequence());
      assertEquals(TOKENS, rest.lastSequence());
      assertTrue(rest.complete(), () -> "no completion: " + rest.finalEvent());
      System.out.println(
          "entry killed after "
              + first.tokens().size()
              + " tokens, resumed "
              + rest.tokens().size()
              + ", lost 0, repeated 0");
    }
  }

  @Nested
  class EngineDies {
    /** Guards against a second generation in the same stream, and an end without a final event. */
    @Test
    void streamEndsWithOneExplicitEvent() throws Exception {
      cluster.startEngine("planner-2", "domain-2", "plan-llm@2");
      CompletableFuture<TestCaller.StreamResult> pending = startPlan("entry-1");
      cluster.standin("planner-1").kill();
      cluster.standin("planner-2").kill();
      TestCaller.StreamResult stream = pending.get(TIMEOUT_S, TimeUnit.SECONDS);
      assertTrue(stream.finalEvent().isPresent(), "the stream ended without a final event");
      assertEquals("interrupted", stream.finalEvent().get().path("status").asText());
      assertTrue(stream.finalEvent().get().path("ran").asBoolean());
      System.out.println(
          "engine killed after "
              + stream.tokens().size()
              + " tokens: "
              + stream.finalEvent().get());
    }
  }
}
