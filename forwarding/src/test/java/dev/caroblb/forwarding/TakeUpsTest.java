package dev.caroblb.forwarding;

import static org.junit.jupiter.api.Assertions.assertEquals;

import dev.caroblb.core.InstanceId;
import dev.caroblb.core.Payload;
import dev.caroblb.core.PeerEnvelope;
import dev.caroblb.core.SoftwareVersion;
import dev.caroblb.core.TargetId;
import dev.caroblb.resumption.PeerMessage;
import dev.caroblb.resumption.ResumptionHandler;
import dev.caroblb.resumption.ResumptionMessage;
import dev.caroblb.resumption.StreamOrigin;
import dev.caroblb.targets.TargetInfo;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;

/** Streams that broke off with their entry and are taken up at another one, after a release. */
class TakeUpsTest {
  private static final SoftwareVersion OLD = new SoftwareVersion("v1");
  private static final SoftwareVersion NEW = new SoftwareVersion("v1.1");
  private static final InstanceId ENTRY = new InstanceId("entry");
  private static final InstanceId CONTROL = new InstanceId("control-1");
  private static final String NOT_RESUMABLE = "refused NOT_RESUMABLE";

  /** An entry instance; requests have the ID {@code id-7}. */
  private final class Entry extends ForwardingFixture {
    Entry() {
      install(0);
      handle(new ForwardingMessage.ControlInstancesChanged(List.of(CONTROL)));
    }

    void available(int index, SoftwareVersion version) {
      available(index, 1, version);
    }

    void available(int index, long incarnation, SoftwareVersion version) {
      handle(
          new ForwardingMessage.TargetAvailable(
              new TargetInfo(
                  new TargetId("t" + index),
                  incarnation,
                  "service",
                  "10.0.0." + index + ":80",
                  ZONE,
                  version)));
    }

    void takeUp(Optional<String> firstAttempt) {
      handle(
          new ForwardingMessage.RequestArrived(
              new ForwardCall(
                  7,
                  "id-8",
                  "host",
                  "/short/x",
                  Optional.of(4_000L),
                  Optional.of("key"),
                  Optional.empty(),
                  List.of(),
                  caller,
                  0,
                  Optional.of(new StreamTakeUp(firstAttempt)))));
    }

    /** Delivers what the entry sent to the control instance, and the replies. */
    void exchangeMessages() {
      for (PeerEnvelope<PeerMessage> sent : toResumption) {
        control.handle(
            new ResumptionMessage.FromPeer(new PeerEnvelope<>(ENTRY, sent.message())), nowMs);
      }
      toResumption.clear();
      for (PeerEnvelope<PeerMessage> reply : replies) {
        handle(new ForwardingMessage.FromResumption(new PeerEnvelope<>(CONTROL, reply.message())));
      }
      replies.clear();
    }

    List<TargetId> chosen() {
      return targets.sent.stream().map(order -> order.target().id()).toList();
    }
  }

  private final List<PeerEnvelope<PeerMessage>> replies = new ArrayList<>();
  private final ResumptionHandler control =
      new ResumptionHandler(replies::add, began -> true, List.of(), 0);
  private final Entry first = new Entry();
  private final Entry second = new Entry();

  @BeforeEach
  void beginStream() {
    first.available(0, OLD);
    first.arrive("/short/x");
    first.startStream();
    first.exchangeMessages();
    second.available(1, NEW);
  }

  @Nested
  class AtAnotherEntry {
    /** Guards against a response whose first part is of another version than the rest. */
    @Test
    void goOnAtTheVersionThatBeganThem() {
      for (int i = 2; i < 9; i++) {
        second.available(i, NEW);
      }
      second.available(9, OLD);
      second.takeUp(Optional.of("id-7"));
      assertEquals(List.of(), second.chosen());
      second.exchangeMessages();
      assertEquals(List.of(new TargetId("t9")), second.chosen());
    }

    /** Guards against a take-up that goes on elsewhere, or waits, after its version has left. */
    @Test
    void areRefusedAtOnceIfTheirVersionHasLeft() {
      second.takeUp(Optional.of("id-7"));
      second.exchangeMessages();
      assertEquals(List.of(NOT_RESUMABLE), second.caller.events);
      assertEquals(List.of(), second.chosen());
    }

    /** Guards against a stream that goes on at another service after a change of its route. */
    @Test
    void areRefusedIfTheirServiceHasChanged() {
      StreamOrigin elsewhere = new StreamOrigin("former", NEW);
      PeerMessage began = new PeerMessage.StreamBegan("id-5", elsewhere, 4_000);
      control.handle(
          new ResumptionMessage.FromPeer(new PeerEnvelope<>(ENTRY, began)), second.nowMs);
      second.takeUp(Optional.of("id-5"));
      second.exchangeMessages();
      assertEquals(List.of(NOT_RESUMABLE), second.caller.events);
      assertEquals(List.of(), second.chosen());
    }

    /** Guards against a guess at the version of a stream that no record names. */
    @Test
    void areRefusedIfNobodyKnowsTheirVersion() {
      second.takeUp(Optional.of("id-6"));
      second.exchangeMessages();
      second.takeUp(Optional.empty());
      assertEquals(List.of(NOT_RESUMABLE, NOT_RESUMABLE), second.caller.events);
      assertEquals(List.of(), second.chosen());
    }

    /** Guards against a take-up that waits for a control instance which is gone. */
    @Test
    void areRefusedIfNoControlInstanceReplies() {
      second.takeUp(Optional.of("id-7"));
      second.nowMs += 250;
      second.handler.tick(second.nowMs);
      assertEquals(List.of(NOT_RESUMABLE), second.caller.events);
      second.exchangeMessages();
      assertEquals(List.of(), second.chosen());
    }

    /** Guards against a reply that arrives after the caller has gone. */
    @Test
    void areNotSentForACallerThatIsGone() {
      second.available(9, OLD);
      second.takeUp(Optional.of("id-7"));
      second.handle(new ForwardingMessage.CallerGone(7));
      second.exchangeMessages();
      assertEquals(List.of(), second.chosen());
      assertEquals(0, second.handler.running());
    }
  }

  @Nested
  class AfterATimeoutOfTheRoute {
    private static final long ROUTE_TIMEOUT_MS = 5_000;

    private void beginStream(Optional<Long> callerTimeoutMs) {
      first.handle(
          new ForwardingMessage.RequestArrived(
              new ForwardCall(
                  9,
                  "id-9",
                  "host",
                  "/short/x",
                  callerTimeoutMs,
                  Optional.of("key"),
                  Optional.empty(),
                  List.of(),
                  first.caller)));
      int attempt = first.targets.last().attempt();
      first.handle(new ForwardingMessage.Head(9, attempt, ForwardingFixture.head(200, true)));
      first.handle(
          new ForwardingMessage.Body(9, attempt, Payload.ofText(ForwardingFixture.FIRST_EVENT)));
      first.exchangeMessages();
    }

    private void takeUpAfterTheTimeout() {
      second.nowMs += ROUTE_TIMEOUT_MS + 100;
      second.available(9, OLD);
      second.takeUp(Optional.of("id-9"));
      second.exchangeMessages();
    }

    /** Guards against a caller that still has time and whose stream is refused. */
    @Test
    void goOnWhileTheirCallersHaveTime() {
      beginStream(Optional.of(39_000L));
      takeUpAfterTheTimeout();
      assertEquals(List.of(new TargetId("t9")), second.chosen());
    }

    /** Guards against the same for callers that do not say how long they wait. */
    @Test
    void goOnIfTheTimeOfTheirCallersIsUnknown() {
      beginStream(Optional.empty());
      takeUpAfterTheTimeout();
      assertEquals(List.of(new TargetId("t9")), second.chosen());
    }
  }

  @Nested
  class AtTheSameEntry {
    /** Guards against a delay where the entry knows the version itself. */
    @Test
    void goOnWithoutAQuery() {
      first.available(1, NEW);
      first.available(2, OLD);
      first.targets.sent.clear();
      first.takeUp(Optional.of("id-7"));
      SoftwareVersion version = first.targets.last().target().softwareVersion();
      assertEquals(OLD, version);
      assertEquals(List.of(), first.toResumption);
    }
  }

  /** An entry that has stood still, or that does not hear the control instances. */
  @Nested
  class AtAnEntryOutOfStep {
    private static final long STANDSTILL_MS = 3_000;

    /** Guards against a guess where only one version is known, which is not the stream's. */
    @Test
    void areRefusedWhileNobodyCanBeAsked() {
      second.handle(new ForwardingMessage.ControlInstancesChanged(List.of()));
      second.takeUp(Optional.of("id-7"));
      assertEquals(List.of(NOT_RESUMABLE), second.caller.events);
      assertEquals(List.of(), second.chosen());
    }

    /** Guards against a wait that ends in another version after a standstill. */
    @Test
    void areRefusedIfTheEntryStoodStillWhileItWaited() {
      second.available(9, OLD);
      second.takeUp(Optional.of("id-7"));
      second.nowMs += STANDSTILL_MS;
      second.handler.tick(second.nowMs);
      second.exchangeMessages();
      assertEquals(List.of(NOT_RESUMABLE), second.caller.events);
      assertEquals(List.of(), second.chosen());
    }

    /** Guards against a run of another version that the entry has not heard of yet. */
    @Test
    void doNotGoToATargetThatRestartedDuringTheStandstill() {
      second.available(9, OLD);
      second.nowMs += STANDSTILL_MS;
      second.takeUp(Optional.of("id-7"));
      second.exchangeMessages();
      assertEquals(List.of(), second.chosen());
      second.available(9, 2, NEW);
      assertEquals(List.of(), second.chosen());
    }

    /** Guards against take-ups that are refused for long after a standstill. */
    @Test
    void goOnAfterTheNextHeartbeat() {
      second.available(9, OLD);
      second.nowMs += STANDSTILL_MS;
      second.takeUp(Optional.of("id-7"));
      second.exchangeMessages();
      second.nowMs += 50;
      second.available(9, OLD);
      assertEquals(List.of(new TargetId("t9")), second.chosen());
    }

    /** Guards against a take-up that waits for its deadline if no heartbeat arrives. */
    @Test
    void endSoonWithoutAHeartbeat() {
      second.available(9, OLD);
      second.nowMs += STANDSTILL_MS;
      second.takeUp(Optional.of("id-7"));
      second.exchangeMessages();
      second.nowMs += 500;
      second.handler.tick(second.nowMs);
      assertEquals(List.of("refused NO_TARGET"), second.caller.events);
    }
  }

  @Nested
  class AfterALostConnection {
    /** The take-up at the first entry, whose only target has lost the stream. */
    private void takeUpLater() {
      first.targets.sent.clear();
      first.nowMs += 1_000;
      first.takeUp(Optional.of("id-7"));
    }

    /** Guards against a target that came back at its address with another version. */
    @Test
    void doNotGoToTheSameTargetBeforeItsNextHeartbeat() {
      first.loseTarget();
      takeUpLater();
      assertEquals(List.of(), first.chosen());
      first.available(0, 2, NEW);
      assertEquals(List.of(), first.chosen());
    }

    /** Guards against a close that is not taken for a loss: a stream may end with it. */
    @Test
    void doNotGoToATargetThatClosedWithinAnEvent() {
      first.handle(new ForwardingMessage.Ended(7, first.attempt()));
      takeUpLater();
      assertEquals(List.of(), first.chosen());
    }

    /** Guards against a target that is gone and whose address the next run takes over. */
    @Test
    void doNotGoToATargetThatRefusedAConnection() {
      first.loseTarget();
      first.nowMs += 100;
      first.available(0, OLD);
      first.nowMs += 100;
      first.arrive("/short/x");
      first.handle(new ForwardingMessage.Failed(7, first.attempt(), false, "refused"));
      takeUpLater();
      assertEquals(List.of(), first.chosen());
    }

    /** Guards against a target that gets no take-ups any more after one lost connection. */
    @Test
    void goToTheSameTargetAfterItsNextHeartbeat() {
      first.loseTarget();
      first.nowMs += 100;
      first.available(0, OLD);
      takeUpLater();
      assertEquals(List.of(new TargetId("t0")), first.chosen());
    }
  }
}
