package dev.caroblb.configuration.codec;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import dev.caroblb.configuration.CommandResult;
import dev.caroblb.configuration.ConfigurationCommand;
import dev.caroblb.configuration.ConfigurationCommand.Accept;
import dev.caroblb.configuration.ConfigurationCommand.CheckedFile;
import dev.caroblb.configuration.ConfigurationMessage;
import dev.caroblb.configuration.FileChunk;
import dev.caroblb.configuration.FileCursor;
import dev.caroblb.configuration.PeerMessage;
import dev.caroblb.configuration.Publish;
import dev.caroblb.configuration.PublishAnswer;
import dev.caroblb.configuration.PublishOutcome;
import dev.caroblb.configuration.PublishedFile;
import dev.caroblb.configuration.teamfile.TeamFileError;
import dev.caroblb.core.InstanceId;
import dev.caroblb.core.Payload;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import net.jqwik.api.ForAll;
import net.jqwik.api.Group;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.Size;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;

class ConfigurationCodecTest {
  private static final TeamFileError ERROR = new TeamFileError("f", 2, "k", "v", "a", "r");
  private static final FileCursor CURSOR = new FileCursor(3, "a.toml");
  private static final PublishedFile FILE = new PublishedFile("a.toml", "team = \"\u00e9\"");

  private static List<PeerMessage> messages() {
    return List.of(
        new PeerMessage.RenewRequest("p", 9, 3, CURSOR),
        new PeerMessage.RenewAnswer(
            "p", 9, 4, new FileChunk(CURSOR, List.of(FILE), FileCursor.after(4), true)),
        new PeerMessage.LeaderHint(Optional.of(new InstanceId("r1"))),
        new PeerMessage.LeaderHint(Optional.empty()),
        new PeerMessage.PublishForward("p", 2, new Publish(4, "q", List.of(FILE))),
        new PeerMessage.PublishReply(
            "p",
            2,
            new PublishAnswer(4, PublishOutcome.INVALID, List.of("f"), "d", List.of(ERROR))));
  }

  @Nested
  class PeerMessages {
    /** Guards against fields that are lost or swapped by encoding and decoding. */
    @Test
    void keepTheirContent() {
      PeerMessageCodec codec = new PeerMessageCodec();
      for (PeerMessage message : messages()) {
        assertEquals(Optional.of(message), codec.decode(codec.encode(message)));
      }
    }

    /** Guards against decoding a truncated message as a shorter valid one. */
    @Test
    void thatAreCutOffAreMalformed() {
      PeerMessageCodec codec = new PeerMessageCodec();
      for (PeerMessage message : messages()) {
        byte[] bytes = codec.encode(message).toBytes();
        for (int length = 0; length < bytes.length; length++) {
          byte[] prefix = java.util.Arrays.copyOf(bytes, length);
          assertEquals(Optional.empty(), codec.decode(Payload.copyOf(prefix)));
        }
      }
    }
  }

  @Nested
  @Group
  class HostileBytes {
    /**
     * Guards against exceptions on malformed bytes, and against allocating a declared size that
     * does not follow.
     */
    @Property(tries = 2_000, seed = "44")
    void neverThrow(@ForAll @Size(max = 60) byte[] tail, @ForAll boolean version) {
      byte[] bytes = tail.clone();
      if (version && bytes.length > 0) {
        bytes[0] = 1;
      }
      Payload payload = Payload.copyOf(bytes);
      assertTrue(new PeerMessageCodec().decode(payload).map(m -> true).orElse(true));
      assertTrue(new CommandCodec().decode(payload).map(m -> true).orElse(true));
      assertTrue(new SnapshotCodec().decode(payload).map(m -> true).orElse(true));
    }
  }

  @Nested
  class Machine {
    private final List<ConfigurationMessage> offered = new ArrayList<>();
    private final ConfigurationStateMachine machine = new ConfigurationStateMachine(offered::add);

    private CommandResult apply(ConfigurationCommand command) {
      Payload result = machine.apply(new CommandCodec().encode(command));
      return new ResultCodec().decode(result).orElseThrow();
    }

    private Accept accept(long number, String digest) {
      CheckedFile file = new CheckedFile("t.toml", "team = \"t\"", "t", List.of("w"));
      return new Accept(number, "request", digest, List.of(file));
    }

    /** Guards against a restart that loses accepted files, recorded publishes or name claims. */
    @Test
    void restoresItsSnapshot() {
      apply(accept(7, "a"));
      ConfigurationStateMachine restored = new ConfigurationStateMachine(offered::add);
      restored.restore(machine.snapshot());
      assertEquals(machine.snapshot(), restored.snapshot());
      Payload conflict = restored.apply(new CommandCodec().encode(accept(7, "b")));
      assertEquals(
          Optional.of(new CommandResult.Conflict(7, "request", "a")),
          new ResultCodec().decode(conflict));
      ConfigurationMessage.StateApplied first = (ConfigurationMessage.StateApplied) offered.get(1);
      assertEquals(7, first.state().number());
    }

    /** Guards against a barrier result without the number that a new leader has to reach. */
    @Test
    void answersABarrierWithTheNumber() {
      apply(accept(7, "a"));
      assertEquals(new CommandResult.BarrierPassed(7), apply(new ConfigurationCommand.Barrier()));
    }

    /** Guards against a replica that skips a command or snapshot of an unknown version. */
    @Test
    void stopsAtAnUnknownFormat() {
      Payload unknown = Payload.copyOf(new byte[] {99, 1});
      assertThrows(IllegalStateException.class, () -> machine.apply(unknown));
      assertThrows(IllegalArgumentException.class, () -> machine.restore(unknown));
    }
  }
}
