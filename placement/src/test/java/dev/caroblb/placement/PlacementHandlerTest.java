package dev.caroblb.placement;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.EnumSet;
import java.util.List;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.IntRange;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;

class PlacementHandlerTest {
  private final List<PlacementOutcome> outcomes = new ArrayList<>();
  private boolean full;

  private boolean accept(PlacementOutcome outcome) {
    return !full && outcomes.add(outcome);
  }

  private PlacementHandler handler(PolicyKind kind) {
    Fleet fleet = new Fleet();
    return new PlacementHandler(fleet, kind.create(fleet, 3), this::accept);
  }

  /** Guards against a policy that leaves a call unanswered or answers it twice. */
  @Property(seed = "11", tries = 100)
  void everyCallIsAnsweredOnce(
      @ForAll PolicyKind kind, @ForAll @IntRange(min = 0, max = 20) int targets) {
    List<PlacementOutcome> answers = new ArrayList<>();
    Fleet fleet = new Fleet();
    PlacementHandler handler = new PlacementHandler(fleet, kind.create(fleet, 5), answers::add);
    for (int i = 0; i < targets; i++) {
      handler.handle(new PlacementMessage.TargetSeen(PlacementSamples.available(i, 2, 100)), 0);
    }
    answers.clear();
    for (int call = 0; call < 30; call++) {
      handler.handle(
          new PlacementMessage.PlaceCall(PlacementSamples.request(call, 50, call % 3)), call);
    }
    assertEquals(30, answers.size());
  }

  @Nested
  class WhileAllTargetsAreEvacuated {
    private final PlacementHandler handler = handler(PolicyKind.PREDICTIVE);

    private void see(TargetState state) {
      handler.handle(
          new PlacementMessage.TargetSeen(
              PlacementSamples.view(1, 1, state, PlacementSamples.available(1, 0, 0).load().get())),
          0);
    }

    private PlacementOutcome place(long call) {
      handler.handle(new PlacementMessage.PlaceCall(PlacementSamples.request(call, 50, 0)), 0);
      return outcomes.get(outcomes.size() - 1);
    }

    /** Guards against calls that wait for a target, and against a withdrawal without effect. */
    @Test
    void callsGetNoTargetUntilTheWithdrawal() {
      see(TargetState.EVACUATED);
      assertEquals(false, ((PlacementOutcome.NoCapacity) place(1)).targetsKnown());
      see(TargetState.AVAILABLE);
      assertTrue(place(2) instanceof PlacementOutcome.Placed);
    }

    /** Guards against waiting calls that are not offered again, and are never refused. */
    @Test
    void waitingCallsAreOfferedAgain() {
      see(TargetState.AVAILABLE);
      outcomes.clear();
      see(TargetState.EVACUATED);
      assertTrue(outcomes.get(0) instanceof PlacementOutcome.CapacityReported);
    }

    /** Guards against a leaving target that gets work again after an evacuation. */
    @Test
    void leavingTargetsStayLeaving() {
      see(TargetState.LEAVING);
      see(TargetState.EVACUATED);
      see(TargetState.AVAILABLE);
      assertTrue(place(3) instanceof PlacementOutcome.NoCapacity);
    }
  }

  @Nested
  class WhenTheOutletIsFull {
    /** Guards against an answer that is lost because the outlet is full. */
    @Test
    void offersAgainAtTheNextTick() {
      PlacementHandler handler = handler(PolicyKind.LEAST_OUTSTANDING);
      handler.handle(new PlacementMessage.TargetSeen(PlacementSamples.available(1, 0, 0)), 0);
      outcomes.clear();
      full = true;
      handler.handle(new PlacementMessage.PlaceCall(PlacementSamples.request(1, 50, 0)), 0);
      assertTrue(outcomes.isEmpty());
      full = false;
      handler.tick(250);
      assertEquals(1, outcomes.size());
    }
  }

  @Nested
  class WhenNoTargetServesTheModel {
    /** Guards against a call that waits for a model that no target serves. */
    @Test
    void answersWithoutKnownTargets() {
      for (PolicyKind kind : EnumSet.allOf(PolicyKind.class)) {
        outcomes.clear();
        handler(kind).handle(new PlacementMessage.PlaceCall(PlacementSamples.request(1, 50, 0)), 0);
        assertEquals(List.of(new PlacementOutcome.NoCapacity(1, false, 1_000)), outcomes);
      }
    }
  }
}
