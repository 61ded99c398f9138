package dev.caroblb.forwarding;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import dev.caroblb.core.InstanceId;
import dev.caroblb.core.Payload;
import dev.caroblb.core.PeerEnvelope;
import dev.caroblb.core.SoftwareVersion;
import dev.caroblb.core.TargetId;
import dev.caroblb.scheduling.PeerMessage;
import dev.caroblb.targets.TargetInfo;
import java.util.List;
import java.util.Optional;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;

/** Streams at an entry while targets of two software versions serve. */
class SoftwareVersionsTest extends ForwardingFixture {
  private static final InstanceId CONTROL = new InstanceId("control-1");
  private static final SoftwareVersion OLD = new SoftwareVersion("v1");
  private static final SoftwareVersion NEW = new SoftwareVersion("v1.1");

  private static TargetId target(int index) {
    return new TargetId("t" + index);
  }

  private void available(int index, SoftwareVersion version) {
    handle(
        new ForwardingMessage.TargetAvailable(
            new TargetInfo(target(index), 1, "service", "10.0.0." + index + ":80", ZONE, version)));
  }

  /** Starts a stream at target 0 of the old version; the others start afterwards. */
  private void startAtOldVersion(String path, long outputTokens) {
    install(0);
    available(0, OLD);
    arriveGeneration(path, outputTokens);
    startStream();
  }

  @Nested
  class LostConnection {
    /** Guards against a stream that resumes at a target of another version. */
    @Test
    void resumesAtTheVersionThatBeganTheStream() {
      startAtOldVersion("/short/x", 4);
      for (int i = 1; i < 9; i++) {
        available(i, NEW);
      }
      available(9, OLD);
      loseTarget();
      assertEquals(target(9), targets.last().target().id());
      assertEquals(Optional.of("1"), targets.last().lastEventId());
    }

    /** Guards against a stream that waits, or goes on elsewhere, after the last of its version. */
    @Test
    void endsTheStreamAtOnceIfItsVersionIsGone() {
      startAtOldVersion("/short/x", 4);
      available(1, NEW);
      loseTarget();
      assertEquals("abort", lastEvent());
      assertEquals(1, targets.sent.size());
    }

    /** Guards against a version that holds a request although no event has reached its caller. */
    @Test
    void retriesAtAnyVersionBeforeTheFirstEvent() {
      install(0);
      available(0, OLD);
      arriveGeneration("/short/x", 4);
      available(1, NEW);
      loseTarget();
      assertEquals(target(1), targets.last().target().id());
    }
  }

  @Nested
  class Memory {
    /** Guards against a backup that an engine of another version would continue from. */
    @Test
    void isBackedUpAtTheSameVersionOnly() {
      install(0);
      available(0, OLD);
      available(1, NEW);
      arriveGeneration("/long/x", 900);
      assertEquals(Optional.empty(), targets.last().backup());
      available(2, OLD);
      available(3, NEW);
      arriveGeneration("/long/x", 900);
      SoftwareVersion version = targets.last().target().softwareVersion();
      assertEquals(Optional.of(version), targets.last().backup().map(TargetInfo::softwareVersion));
    }

    /** Guards against a move to a leaving engine's successor of another version. */
    @Test
    void movesToTheSameVersionOnly() {
      startAtOldVersion("/long/x", 100);
      available(1, NEW);
      handle(new ForwardingMessage.TargetLeaving(target(0), 1));
      assertEquals(List.of(), targets.moves);
      available(2, OLD);
      handle(new ForwardingMessage.Body(7, attempt(), Payload.ofText("ta: b\n\n")));
      assertEquals("10.0.0.2:80", targets.moves.get(0).destination());
    }

    /** Guards against a coordinator that does not know the version of a restarted engine yet. */
    @Test
    void doesNotFollowTheCoordinatorToAnotherVersion() {
      startAtOldVersion("/long/x", 100);
      available(1, NEW);
      handle(new ForwardingMessage.ControlInstancesChanged(List.of(CONTROL)));
      handle(new ForwardingMessage.TargetLeaving(target(0), 1));
      PeerMessage request = toPeers.get(toPeers.size() - 1).message();
      assertEquals(
          Optional.of(OLD), ((PeerMessage.PlacementRequest) request).need().softwareVersion());
      PeerMessage reply =
          new PeerMessage.PlacementReply(
              firstTicket(), 1, Optional.of(target(1)), Optional.empty());
      handle(new ForwardingMessage.FromScheduler(new PeerEnvelope<>(CONTROL, reply)));
      assertTrue(targets.moves.isEmpty());
    }
  }
}
