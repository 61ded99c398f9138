package dev.caroblb.daemon;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import dev.caroblb.core.FailureDomain;
import dev.caroblb.core.Payload;
import dev.caroblb.core.StateMachine;
import dev.caroblb.evacuation.EvacuationCommand;
import dev.caroblb.evacuation.EvacuationMessage;
import dev.caroblb.evacuation.EvacuationState;
import dev.caroblb.evacuation.codec.CommandCodec;
import dev.caroblb.evacuation.codec.EvacuationStateMachine;
import dev.caroblb.evacuation.codec.SharedStateMachine;
import dev.caroblb.routing.RoutingCommand;
import dev.caroblb.routing.RoutingDocument;
import dev.caroblb.routing.RoutingMessage;
import dev.caroblb.routing.codec.RoutingStateMachine;
import java.util.ArrayList;
import java.util.List;
import java.util.Set;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;

/** Routing documents and evacuations in one consensus group. */
class SharedControlGroupTest {
  private static final FailureDomain ZONE = new FailureDomain("zone-a");
  private static final RoutingDocument DOCUMENT =
      new RoutingDocument(4, Payload.ofText("{\"version\":4}"));

  private final CommandCodec orders = new CommandCodec();
  private final dev.caroblb.routing.codec.CommandCodec documents =
      new dev.caroblb.routing.codec.CommandCodec();
  private final List<RoutingMessage> routing = new ArrayList<>();
  private final List<EvacuationMessage> evacuations = new ArrayList<>();
  private final StateMachine machine = machine();

  private StateMachine machine() {
    return new SharedStateMachine(
        new RoutingStateMachine(routing::add), new EvacuationStateMachine(evacuations::add));
  }

  private void accept(StateMachine to) {
    to.apply(documents.encode(new RoutingCommand.Accept(DOCUMENT)));
  }

  private void assertRestored(Payload snapshot, List<EvacuationMessage> expected) {
    routing.clear();
    evacuations.clear();
    machine().restore(snapshot);
    assertEquals(List.of(new RoutingMessage.Applied(DOCUMENT)), routing);
    assertEquals(expected, evacuations);
  }

  @Nested
  class Commands {
    /** Guards against a journal of an earlier version that cannot be read, or is misread. */
    @Test
    void reachTheirStateMachine() {
      accept(machine);
      machine.apply(documents.encode(new RoutingCommand.Barrier()));
      assertEquals(2, routing.size());
      assertEquals(List.of(), evacuations);
      machine.apply(orders.encode(new EvacuationCommand.Begin(ZONE)));
      machine.apply(orders.encode(new EvacuationCommand.End(ZONE)));
      assertEquals(
          List.of(
              new EvacuationMessage.Applied(new EvacuationState(1, Set.of(ZONE))),
              new EvacuationMessage.Applied(new EvacuationState(2, Set.of()))),
          evacuations);
      assertEquals(2, routing.size());
    }

    /** Guards against a committed command that is skipped, after which replicas differ. */
    @Test
    void ofUnknownFormatAreErrors() {
      assertThrows(IllegalStateException.class, () -> machine.apply(Payload.ofText("damage")));
    }
  }

  @Nested
  class Snapshots {
    /** Guards against a start that fails or loses the configuration after an update. */
    @Test
    void ofTheRoutingStateAloneAreRead() {
      StateMachine earlier = new RoutingStateMachine(message -> true);
      accept(earlier);
      assertRestored(earlier.snapshot(), List.of());
      machine().restore(Payload.empty());
    }

    /**
     * Guards against a snapshot that earlier versions cannot read although nothing is evacuated.
     */
    @Test
    void beforeTheFirstOrderHaveTheEarlierFormat() {
      StateMachine earlier = new RoutingStateMachine(message -> true);
      accept(earlier);
      accept(machine);
      assertEquals(earlier.snapshot(), machine.snapshot());
    }

    /** Guards against a part of the state that a snapshot lacks. */
    @Test
    void restoreBothStates() {
      accept(machine);
      machine.apply(orders.encode(new EvacuationCommand.Begin(ZONE)));
      assertRestored(
          machine.snapshot(),
          List.of(new EvacuationMessage.Applied(new EvacuationState(1, Set.of(ZONE)))));
      assertTrue(machine.snapshotsWhenIdle());
    }

    /** Guards against a corrupt snapshot that is taken for an empty one. */
    @Test
    void thatAreCorruptAreErrors() {
      assertThrows(IllegalArgumentException.class, () -> machine.restore(Payload.ofText("damage")));
    }
  }
}
