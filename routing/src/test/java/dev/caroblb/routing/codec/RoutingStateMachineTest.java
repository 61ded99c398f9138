package dev.caroblb.routing.codec;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;

import dev.caroblb.core.Payload;
import dev.caroblb.routing.PeerMessage;
import dev.caroblb.routing.RoutingCommand;
import dev.caroblb.routing.RoutingDocument;
import dev.caroblb.routing.RoutingMessage;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;

class RoutingStateMachineTest {
  private final CommandCodec commands = new CommandCodec();
  private final List<RoutingMessage> offered = new ArrayList<>();
  private final RoutingStateMachine machine = new RoutingStateMachine(offered::add);

  private static RoutingDocument document(long number, String body) {
    return new RoutingDocument(number, Payload.ofText(body));
  }

  private void accept(long number, String body) {
    machine.apply(commands.encode(new RoutingCommand.Accept(document(number, body))));
  }

  private RoutingMessage latest() {
    return offered.get(offered.size() - 1);
  }

  @Nested
  class Acceptance {
    /** Guards against replacing a document by another one with the same number. */
    @Test
    void firstDocumentUnderANumberIsKept() {
      accept(4, "first");
      accept(4, "second");
      accept(3, "older");
      assertEquals(new RoutingMessage.Applied(document(4, "first")), latest());
      accept(9, "newer");
      machine.apply(commands.encode(new RoutingCommand.Barrier()));
      assertEquals(new RoutingMessage.Applied(document(9, "newer")), latest());
    }
  }

  @Nested
  class Snapshot {
    /** Guards against losing the accepted document at a restart. */
    @Test
    void restoresTheDocument() {
      String large = "route ".repeat(700_000);
      accept(4, large);
      RoutingStateMachine other = new RoutingStateMachine(offered::add);
      other.restore(machine.snapshot());
      assertEquals(new RoutingMessage.Applied(document(4, large)), latest());
    }

    /** Guards against treating a corrupt snapshot as an empty one. */
    @Test
    void corruptSnapshotIsAnError() {
      Payload corrupt = Payload.ofText("damage");
      assertThrows(IllegalArgumentException.class, () -> machine.restore(corrupt));
    }
  }

  @Nested
  class Messages {
    private final PeerMessageCodec codec = new PeerMessageCodec();

    /** Guards against fields lost in encoding or decoding. */
    @Test
    void surviveARoundTrip() {
      for (PeerMessage message :
          List.of(
              new PeerMessage.ActiveNumber(5),
              new PeerMessage.Accepted(document(6, "{\"a\":1}")))) {
        assertEquals(Optional.of(message), codec.decode(codec.encode(message)));
      }
      assertEquals(Optional.empty(), codec.decode(Payload.ofText("x")));
    }
  }
}
