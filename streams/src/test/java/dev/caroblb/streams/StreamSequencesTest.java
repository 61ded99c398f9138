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

/** Random sequences of engine events, lost links, refusing callers, resumes and ticks. */
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

  /** One caller and where its part of the generation begins. */
  private record Session(long id, RecordingCaller caller, long afterSequence, boolean fresh) {}

  private static final class World {
    final StreamsBench bench = new StreamsBench();
    final List<Session> sessions = new ArrayList<>();
    final boolean repeatable;
    private final Map<Long, Long> linkSent = new HashMap<>();
    final Set<Long> gone = new HashSet<>();

    /** Callers that took nothing for the stall limit; the entry may give them up unheard. */
    final Set<Long> stalled = new HashSet<>();

    private final Map<Long, Long> fullSinceMs = new HashMap<>();

    World(boolean streams, boolean repeatable) {
      this.repeatable = repeatable;
      sessions.add(
          new Session(1, bench.start(StreamsBench.modelCall(1, streams, repeatable)), 0, true));
    }

    Session current() {
      return sessions.get(sessions.size() - 1);
    }

    void perform(Step step) {
      switch (step.kind()) {
        case TOKENS -> tokens(lastSent() + 1, step.amount());
        case DUPLICATE -> tokens(Math.max(1, lastSent() - 1), step.amount());
        case GAP -> tokens(lastSent() + 2, step.amount());
        case DONE -> bench.engine(new EngineEvent.Done());
        case LOST -> bench.engine(StreamsBench.lost());
        case UNREACHABLE -> bench.engine(StreamsBench.unreachable());
        case REJECTED -> bench.engine(new EngineEvent.Rejected(404, "unknown"));
        case CALLER_FULL -> current().caller().full = true;
        case CALLER_READY -> {
          current().caller().full = false;
          bench.handle(new StreamsMessage.CallerReady(current().id()));
        }
        case CALLER_GONE -> {
          gone.add(current().id());
          bench.handle(new StreamsMessage.CallerGone(current().id()));
        }
        case RESUME -> resume();
        case TICK -> bench.advance(100L * step.amount());
        case LONG_TICK -> bench.advance(3_000L * step.amount());
        case STOP -> bench.handle(new StreamsMessage.StopAll());
      }
    }

    void noteStalls() {
      for (Session session : sessions) {
        if (!session.caller().full) {
          fullSinceMs.remove(session.id());
          continue;
        }
        long sinceMs = fullSinceMs.computeIfAbsent(session.id(), id -> bench.nowMs);
        if (bench.nowMs - sinceMs >= StreamsBench.LIMITS.callerStallMs()) {
          stalled.add(session.id());
        }
      }
    }

    private void resume() {
      if (sessions.size() >= 5) {
        return;
      }
      List<Long> taken = current().caller().sequences();
      long after = taken.isEmpty() ? current().afterSequence() : taken.get(taken.size() - 1);
      long id = sessions.size() + 1L;
      sessions.add(new Session(id, bench.resume(id, bench.generation(), after), after, false));
    }

    /** The engine continues after the token that the newest link asked for. */
    private long lastSent() {
      long asked = 0;
      for (EngineCommand.Resume resume : bench.sent(EngineCommand.Resume.class)) {
        asked = resume.link() == bench.link() ? resume.afterSequence() : asked;
      }
      return Math.max(asked, linkSent.getOrDefault(bench.link(), 0L));
    }

    private void tokens(long from, int count) {
      EngineEvent[] events = new EngineEvent[count];
      for (int i = 0; i < count; i++) {
        events[i] = StreamsBench.token(from + i);
      }
      linkSent.merge(bench.link(), from + count - 1, Math::max);
      bench.engine(events);
    }

    void settle() {
      for (int i = 0; i < 2; i++) {
        sessions.forEach(session -> session.caller().full = false);
        bench.advance(StreamsBench.DEADLINE_MS + 15_000);
      }
    }
  }

  @Property(tries = 1_000, seed = "4711")
  void callerGetsGaplessPrefixAndAtMostOneFinalEvent(
      @ForAll boolean streams, @ForAll boolean repeatable, @ForAll("steps") List<Step> steps) {
    World world = new World(streams, repeatable);
    for (Step step : steps) {
      world.perform(step);
      world.noteStalls();
      world.sessions.forEach(session -> checkPrefix(world, session));
    }
    world.settle();
    assertEquals(0, world.bench.handler.running(), "calls that never end");
    assertEquals(world.sessions.size(), world.bench.outcomes.size(), "one outcome for each start");
    world.bench.outcomes.stream()
        .filter(CallOutcome::retry)
        .forEach(outcome -> checkHandedBack(world, outcome));
    for (Session session : world.sessions) {
      checkPrefix(world, session);
      checkEnd(world, session);
    }
  }

  private static void checkPrefix(World world, Session session) {
    List<Long> sequences = session.caller().sequences();
    for (int i = 0; i < sequences.size(); i++) {
      assertEquals(session.afterSequence() + 1 + i, sequences.get(i), "token order");
    }
    GenerationId generation = world.bench.generation();
    session.caller().generations().forEach(g -> assertEquals(generation, g));
    List<CallerEvent> finals = session.caller().finals();
    assertTrue(finals.size() <= 1, () -> "final events " + finals);
    List<CallerEvent> taken = session.caller().taken;
    if (!finals.isEmpty()) {
      assertEquals(finals.get(0), taken.get(taken.size() - 1), "nothing follows the final event");
    }
  }

  private static void checkEnd(World world, Session session) {
    List<CallerEvent> finals = session.caller().finals();
    boolean unheard = world.gone.contains(session.id()) || world.stalled.contains(session.id());
    boolean handedBack =
        session.fresh()
            && world.bench.outcomes.stream().anyMatch(o -> o.call().isPresent() && o.retry());
    assertTrue(unheard || handedBack || finals.size() == 1, "a call ended without a final event");
    assertTrue(!handedBack || finals.isEmpty(), "a call was handed back after its final event");
    for (CallerEvent end : finals) {
      List<Long> sequences = session.caller().sequences();
      long last =
          sequences.isEmpty() ? session.afterSequence() : sequences.get(sequences.size() - 1);
      if (end instanceof CallerEvent.Interrupted interrupted) {
        assertEquals(last, interrupted.tokens(), "tokens named by the final event");
      } else if (end instanceof CallerEvent.Completed completed) {
        assertEquals(last, completed.tokens(), "tokens named by the final event");
      } else if (end instanceof CallerEvent.Refused refused) {
        assertTrue(
            refused.refusal().reason().kind() != RefusalKind.NOT_RUN, "a dispatched call may run");
      }
    }
  }

  /** A call handed back as "not run" must not have run; only a repeatable one may have. */
  private static void checkHandedBack(World world, CallOutcome outcome) {
    RefusalKind kind = outcome.refusal().orElseThrow().kind();
    assertTrue(world.repeatable || kind == RefusalKind.NOT_RUN, "a second run");
    assertTrue(kind != RefusalKind.NOT_RUN || outcome.tokens() == 0, "not run, but sent tokens");
  }

  @Provide
  Arbitrary<List<Step>> steps() {
    // Tokens, losses and short waits are more frequent, so that sequences get past the first token.
    Arbitrary<Kind> kinds =
        Arbitraries.oneOf(
            Arbitraries.of(Kind.class), Arbitraries.of(Kind.TOKENS, Kind.LOST, Kind.TICK));
    return Combinators.combine(kinds, Arbitraries.integers().between(1, 4))
        .as(Step::new)
        .list()
        .ofMaxSize(40);
  }
}
