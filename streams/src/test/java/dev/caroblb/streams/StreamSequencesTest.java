package dev.caroblb.streams;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import dev.caroblb.core.GenerationId;
import dev.caroblb.core.RefusalKind;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import net.jqwik.api.Arbitraries;
import net.jqwik.api.Arbitrary;
import net.jqwik.api.Combinators;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.Provide;

/** Random sequences of engine events, lost links, stalled callers, resumes and ticks. */
class StreamSequencesTest {
  private enum Kind {
    TOKENS,
    DUPLICATE,
    GAP,
    DONE,
    LOST,
    UNREACHABLE,
    REJECTED,
    CALLER_FULL,
    CALLER_READY,
    CALLER_GONE,
    RESUME,
    TICK,
    LONG_TICK,
    STOP
  }

  private record Step(Kind kind, int amount) {}

  /** A caller and the last token that it had before; {@code fresh} if it started the call. */
  private record Session(long id, RecordingCaller caller, long afterSequence, boolean fresh) {}

  private static final class Simulation {
    final StreamsHarness harness = new StreamsHarness();
    final List<Session> sessions = new ArrayList<>();
    final boolean repeatable;
    private final Map<Long, Long> lastSentByLink = new HashMap<>();
    final Set<Long> gone = new HashSet<>();

    /** Callers that accepted nothing for the stall limit; they may get no final event. */
    final Set<Long> stalled = new HashSet<>();

    private final Map<Long, Long> fullSinceMs = new HashMap<>();

    Simulation(boolean streams, boolean repeatable) {
      this.repeatable = repeatable;
      sessions.add(
          new Session(1, harness.start(StreamsHarness.modelCall(1, streams, repeatable)), 0, true));
    }

    Session current() {
      return sessions.get(sessions.size() - 1);
    }

    void perform(Step step) {
      switch (step.kind()) {
        case TOKENS -> sendTokens(lastSent() + 1, step.amount());
        case DUPLICATE -> sendTokens(Math.max(1, lastSent() - 1), step.amount());
        case GAP -> sendTokens(lastSent() + 2, step.amount());
        case DONE -> harness.engine(new EngineEvent.Done());
        case LOST -> harness.engine(StreamsHarness.lost());
        case UNREACHABLE -> harness.engine(StreamsHarness.unreachable());
        case REJECTED -> harness.engine(new EngineEvent.Rejected(404, "unknown"));
        case CALLER_FULL -> current().caller().full = true;
        case CALLER_READY -> {
          current().caller().full = false;
          harness.handle(new StreamsMessage.CallerReady(current().id()));
        }
        case CALLER_GONE -> {
          gone.add(current().id());
          harness.handle(new StreamsMessage.CallerGone(current().id()));
        }
        case RESUME -> resume();
        case TICK -> harness.advance(100L * step.amount());
        case LONG_TICK -> harness.advance(3_000L * step.amount());
        case STOP -> harness.handle(new StreamsMessage.StopAll());
      }
    }

    void recordStalls() {
      for (Session session : sessions) {
        if (!session.caller().full) {
          fullSinceMs.remove(session.id());
          continue;
        }
        long sinceMs = fullSinceMs.computeIfAbsent(session.id(), id -> harness.nowMs);
        if (harness.nowMs - sinceMs >= StreamsHarness.LIMITS.callerStallMs()) {
          stalled.add(session.id());
        }
      }
    }

    private void resume() {
      if (sessions.size() >= 5) {
        return;
      }
      List<Long> accepted = current().caller().sequences();
      long after =
          accepted.isEmpty() ? current().afterSequence() : accepted.get(accepted.size() - 1);
      long id = sessions.size() + 1L;
      sessions.add(new Session(id, harness.resume(id, harness.generation(), after), after, false));
    }

    /** Last token of the newest link, or the one after which that link resumed. */
    private long lastSent() {
      long resumedAfter = 0;
      for (EngineCommand.Resume resume : harness.sent(EngineCommand.Resume.class)) {
        resumedAfter = resume.link() == harness.link() ? resume.afterSequence() : resumedAfter;
      }
      return Math.max(resumedAfter, lastSentByLink.getOrDefault(harness.link(), 0L));
    }

    private void sendTokens(long from, int count) {
      EngineEvent[] events = new EngineEvent[count];
      for (int i = 0; i < count; i++) {
        events[i] = StreamsHarness.token(from + i);
      }
      lastSentByLink.merge(harness.link(), from + count - 1, Math::max);
      harness.engine(events);
    }

    void runToEnd() {
      for (int i = 0; i < 2; i++) {
        sessions.forEach(session -> session.caller().full = false);
        harness.advance(StreamsHarness.DEADLINE_MS + 15_000);
      }
    }
  }

  @Property(tries = 1_000, seed = "4711")
  void callerGetsGaplessPrefixAndAtMostOneFinalEvent(
      @ForAll boolean streams, @ForAll boolean repeatable, @ForAll("steps") List<Step> steps) {
    Simulation simulation = new Simulation(streams, repeatable);
    for (Step step : steps) {
      simulation.perform(step);
      simulation.recordStalls();
      simulation.sessions.forEach(session -> checkPrefix(simulation, session));
    }
    simulation.runToEnd();
    assertEquals(0, simulation.harness.handler.running(), "calls that never end");
    assertEquals(
        simulation.sessions.size(),
        simulation.harness.outcomes.size(),
        "one outcome for each start");
    simulation.harness.outcomes.stream()
        .filter(CallOutcome::retry)
        .forEach(outcome -> checkHandedBack(simulation, outcome));
    for (Session session : simulation.sessions) {
      checkPrefix(simulation, session);
      checkEnd(simulation, session);
    }
  }

  private static void checkPrefix(Simulation simulation, Session session) {
    List<Long> sequences = session.caller().sequences();
    for (int i = 0; i < sequences.size(); i++) {
      assertEquals(session.afterSequence() + 1 + i, sequences.get(i), "token order");
    }
    GenerationId generation = simulation.harness.generation();
    session.caller().generations().forEach(g -> assertEquals(generation, g));
    List<CallerEvent> finals = session.caller().finals();
    assertTrue(finals.size() <= 1, () -> "final events " + finals);
    List<CallerEvent> accepted = session.caller().accepted;
    if (!finals.isEmpty()) {
      assertEquals(
          finals.get(0), accepted.get(accepted.size() - 1), "an event followed the final event");
    }
  }

  private static void checkEnd(Simulation simulation, Session session) {
    List<CallerEvent> finals = session.caller().finals();
    boolean callerLeft =
        simulation.gone.contains(session.id()) || simulation.stalled.contains(session.id());
    boolean handedBack =
        session.fresh()
            && simulation.harness.outcomes.stream()
                .anyMatch(o -> o.call().isPresent() && o.retry());
    assertTrue(
        callerLeft || handedBack || finals.size() == 1, "a call ended without a final event");
    assertTrue(!handedBack || finals.isEmpty(), "a call was handed back after its final event");
    for (CallerEvent end : finals) {
      List<Long> sequences = session.caller().sequences();
      long last =
          sequences.isEmpty() ? session.afterSequence() : sequences.get(sequences.size() - 1);
      if (end instanceof CallerEvent.Interrupted interrupted) {
        assertEquals(last, interrupted.tokens(), "token count of the final event");
      } else if (end instanceof CallerEvent.Completed completed) {
        assertEquals(last, completed.tokens(), "token count of the final event");
      } else if (end instanceof CallerEvent.Refused refused) {
        assertTrue(
            refused.refusal().reason().kind() != RefusalKind.NOT_RUN,
            "a dispatched call was reported as not run");
      }
    }
  }

  /** A call handed back as "not run" must not have run; only a repeatable one may have. */
  private static void checkHandedBack(Simulation simulation, CallOutcome outcome) {
    RefusalKind kind = outcome.refusal().orElseThrow().kind();
    assertTrue(
        simulation.repeatable || kind == RefusalKind.NOT_RUN,
        "a call that must not be repeated was handed back");
    assertTrue(
        kind != RefusalKind.NOT_RUN || outcome.tokens() == 0,
        "a call that produced tokens was reported as not run");
  }

  @Provide
  Arbitrary<List<Step>> steps() {
    // Tokens, lost links and ticks are more frequent, so that sequences get past the first token.
    Arbitrary<Kind> kinds =
        Arbitraries.oneOf(
            Arbitraries.of(Kind.class), Arbitraries.of(Kind.TOKENS, Kind.LOST, Kind.TICK));
    return Combinators.combine(kinds, Arbitraries.integers().between(1, 4))
        .as(Step::new)
        .list()
        .ofMaxSize(40);
  }
}
