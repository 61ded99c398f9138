package dev.caroblb.idempotency.codec;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;

import dev.caroblb.core.InstanceId;
import dev.caroblb.core.Payload;
import dev.caroblb.core.WorkspaceId;
import dev.caroblb.idempotency.Attempt;
import dev.caroblb.idempotency.CallKey;
import dev.caroblb.idempotency.Hash128;
import dev.caroblb.idempotency.KeyCommand;
import dev.caroblb.idempotency.KeyLimits;
import dev.caroblb.idempotency.KeyMessage;
import dev.caroblb.idempotency.KeyRefusal;
import dev.caroblb.idempotency.KeyResult;
import dev.caroblb.idempotency.StoredOutcome;
import java.util.Arrays;
import java.util.List;
import java.util.Optional;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.Size;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;

class KeyCodecsTest {
  private static final CallKey KEY =
      new CallKey(new WorkspaceId("receipts"), "1800000000000-abcdefgh");
  private static final Attempt ATTEMPT = new Attempt(new InstanceId("e1"), -3, Long.MAX_VALUE);
  private static final Hash128 DIGEST = new Hash128(Long.MIN_VALUE, 7);
  private static final StoredOutcome OUTCOME =
      StoredOutcome.of(201, "text/plain", Payload.ofText("größe"));
  private static final KeyMessage.Operation OPERATION = KeyMessage.Operation.RELEASE;
  private static final List<KeyMessage> MESSAGES =
      List.of(
          new KeyMessage.Reserve(KEY, ATTEMPT, DIGEST, 5_000),
          new KeyMessage.RecordOutcome(KEY, ATTEMPT, OUTCOME),
          new KeyMessage.Release(KEY, ATTEMPT),
          new KeyMessage.Answer(ATTEMPT, OPERATION, new KeyResult.Granted()),
          new KeyMessage.Answer(ATTEMPT, OPERATION, new KeyResult.Stored(OUTCOME)),
          new KeyMessage.Answer(ATTEMPT, OPERATION, new KeyResult.Held(ATTEMPT)),
          new KeyMessage.Answer(ATTEMPT, OPERATION, new KeyResult.Refused(KeyRefusal.FULL)),
          new KeyMessage.Answer(ATTEMPT, OPERATION, new KeyResult.Recorded()),
          new KeyMessage.Answer(ATTEMPT, OPERATION, new KeyResult.Released()),
          new KeyMessage.Answer(ATTEMPT, OPERATION, new KeyResult.NotHolder()),
          new KeyMessage.Waiting(ATTEMPT),
          new KeyMessage.NotLeader(ATTEMPT, OPERATION, Optional.empty()),
          new KeyMessage.NotLeader(ATTEMPT, OPERATION, Optional.of(new InstanceId("r1"))));

  private final KeyMessageCodec codec = new KeyMessageCodec();
  private final KeyCommandFormat format = new KeyCommandFormat();

  @Nested
  class Messages {
    /** Guards against fields that are lost or swapped. */
    @Test
    void surviveARoundTrip() {
      for (KeyMessage message : MESSAGES) {
        assertEquals(Optional.of(message), codec.decode(codec.encode(message)));
      }
    }

    /** Guards against accepting a truncated message. */
    @Test
    void areRejectedWhenTruncated() {
      for (KeyMessage message : MESSAGES) {
        byte[] bytes = codec.encode(message).toBytes();
        for (int length = 0; length < bytes.length; length++) {
          Payload prefix = Payload.copyOf(Arrays.copyOf(bytes, length));
          assertEquals(Optional.empty(), codec.decode(prefix));
        }
      }
    }
  }

  @Nested
  class StateMachine {
    private final KeyStateMachine machine = new KeyStateMachine(KeyLimits.DEFAULT);

    /** Guards against a replica that skips an unknown command and diverges from the others. */
    @Test
    void stopsAtAnUnknownCommand() {
      assertThrows(IllegalStateException.class, () -> machine.apply(Payload.ofText("later")));
    }

    /** Guards against a snapshot that loses records. */
    @Test
    void returnsTheSameResultAfterARestore() {
      Payload reserve =
          format.encode(new KeyCommand.Reserve(KEY, ATTEMPT, DIGEST, 1_800_000_000_000L));
      machine.apply(reserve);
      machine.apply(format.encode(new KeyCommand.RecordOutcome(KEY, ATTEMPT, OUTCOME)));
      KeyStateMachine restored = new KeyStateMachine(KeyLimits.DEFAULT);
      restored.restore(machine.snapshot());
      assertEquals(
          Optional.of(new KeyResult.Stored(OUTCOME)), format.decodeResult(restored.apply(reserve)));
      assertEquals(machine.snapshot(), restored.snapshot());
    }

    /** Guards against a replica that continues with a truncated snapshot. */
    @Test
    void rejectsATruncatedSnapshot() {
      machine.apply(
          format.encode(new KeyCommand.Reserve(KEY, ATTEMPT, DIGEST, 1_800_000_000_000L)));
      byte[] bytes = machine.snapshot().toBytes();
      Payload truncated = Payload.copyOf(Arrays.copyOf(bytes, bytes.length - 1));
      assertThrows(IllegalStateException.class, () -> machine.restore(truncated));
    }
  }

  /** Guards against decoders that throw on malformed input. */
  @Property(tries = 2_000, seed = "20271")
  void arbitraryBytesNeverThrow(@ForAll @Size(max = 64) byte[] bytes, @ForAll int type) {
    byte[] framed = new byte[bytes.length + 2];
    framed[0] = (byte) 0x95;
    framed[1] = (byte) (1 + Math.floorMod(type, 6));
    System.arraycopy(bytes, 0, framed, 2, bytes.length);
    codec.decode(Payload.copyOf(bytes));
    codec.decode(Payload.copyOf(framed));
    format.decodeResult(Payload.copyOf(framed));
    format.decodeCommand(Payload.copyOf(framed));
  }
}
