package dev.caroblb.forwarding;

import static org.junit.jupiter.api.Assertions.assertEquals;

import dev.caroblb.core.FailureDomain;
import dev.caroblb.core.InstanceId;
import dev.caroblb.core.Payload;
import dev.caroblb.core.PeerEnvelope;
import dev.caroblb.core.TargetId;
import dev.caroblb.core.TargetRun;
import dev.caroblb.scheduling.PeerMessage;
import dev.caroblb.targets.SpeedObservation;
import dev.caroblb.targets.SpeedSample;
import dev.caroblb.targets.TargetInfo;
import dev.caroblb.targets.TargetSpeed;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;

class AttemptMeterTest extends ForwardingFixture {
  private static final InstanceId CONTROL = new InstanceId("control-1");
  private static final int MORE_EVENTS_THAN_BUFFERED = 100_000;

  private void receive(PeerMessage message) {
    handle(new ForwardingMessage.FromScheduler(new PeerEnvelope<>(CONTROL, message)));
  }

  private void start(int engines) {
    install(engines);
    handle(new ForwardingMessage.ControlInstancesChanged(List.of(CONTROL)));
    handler.tick(nowMs);
    arriveGeneration("/long/x", 100);
    receive(
        new PeerMessage.PlacementReply(
            firstTicket(), 1, Optional.of(new TargetId("t0")), Optional.empty()));
  }

  private void event(long afterMs, int number) {
    nowMs += afterMs;
    String event = "id: " + number + "\ndata: a\n\n";
    handle(new ForwardingMessage.Body(7, attempt(), Payload.ofText(event)));
  }

  private List<SpeedObservation> reported() {
    List<SpeedObservation> observations = new ArrayList<>();
    for (PeerEnvelope<PeerMessage> sent : toPeers) {
      if (sent.message() instanceof PeerMessage.LoadReport report) {
        observations.addAll(report.observations());
      }
    }
    return observations;
  }

  private List<SpeedObservation> reportedAfter(long ms) {
    nowMs += ms;
    handler.tick(nowMs);
    return reported();
  }

  private static SpeedObservation observation(SpeedSample... samples) {
    return new SpeedObservation(new TargetRun(new TargetId("t0"), 1), List.of(samples));
  }

  @Nested
  class Observations {
    /** Guards against a coordinator that does not learn what an entry measures. */
    @Test
    void areReportedOnce() {
      start(2);
      handle(new ForwardingMessage.Head(7, attempt(), head(200, true)));
      event(300, 1);
      event(50, 2);
      event(70, 3);
      List<SpeedObservation> expected =
          List.of(
              observation(
                  new SpeedSample(0, 2, 120),
                  new SpeedSample(9, 1, 300),
                  new SpeedSample(24, 1, 70)));
      assertEquals(expected, reportedAfter(1_000));
      assertEquals(expected, reportedAfter(2_000));
    }

    /** Guards against times of unknown age after a long time without a control instance. */
    @Test
    void areDiscardedWhenTheyWereNotReportedForLong() {
      start(2);
      handle(new ForwardingMessage.Head(7, attempt(), head(200, true)));
      event(300, 1);
      assertEquals(List.of(), reportedAfter(10_000));
    }

    /** Guards against an engine that counts as slow because callers read slowly. */
    @Test
    void leaveOutPausesAfterACallerThatDidNotRead() {
      start(2);
      handle(new ForwardingMessage.Head(7, attempt(), head(200, true)));
      caller.full = true;
      nowMs += 300;
      String large = FIRST_EVENT.repeat(MORE_EVENTS_THAN_BUFFERED);
      handle(new ForwardingMessage.Body(7, attempt(), Payload.ofText(large)));
      event(900, 2);
      assertEquals(List.of(observation(new SpeedSample(9, 1, 300))), reportedAfter(1_000));
    }
  }

  @Nested
  class Speeds {
    /** Guards against an entry that ignores learned speeds when it places requests itself. */
    @Test
    void areUsedWhenNoControlInstanceReplies() {
      install(2);
      handle(new ForwardingMessage.ControlInstancesChanged(List.of(CONTROL)));
      TargetRun slow = new TargetRun(new TargetId("t0"), 1);
      TargetSpeed speed = new TargetSpeed(slow, 300, 71, List.of(400L));
      receive(new PeerMessage.RemoteLoadReport(3, List.of(), List.of(speed)));
      handle(new ForwardingMessage.ControlInstancesChanged(List.of()));
      for (int i = 0; i < 20; i++) {
        arriveGeneration("/long/x", 100);
        assertEquals(new TargetId("t1"), targets.last().target().id());
        handle(new ForwardingMessage.CallerGone(7));
      }
    }
  }

  @Nested
  class BytesBetweenDomains {
    /** Guards against traffic between domains that operators cannot see. */
    @Test
    void areCountedForTargetsOfOtherDomainsOnly() {
      install(1);
      arrive("/safe/x");
      respond(200, "local");
      assertEquals(0, bytesFromOtherDomains);
      handle(new ForwardingMessage.TargetGone(new TargetId("t0"), 1));
      handle(
          new ForwardingMessage.TargetAvailable(
              new TargetInfo(
                  new TargetId("t1"), 1, "service", "10.0.0.1:80", new FailureDomain("zone-b"))));
      arrive("/safe/x");
      respond(200, "remote");
      assertEquals(6, bytesFromOtherDomains);
    }
  }
}
