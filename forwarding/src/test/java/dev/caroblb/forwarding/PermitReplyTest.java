package dev.caroblb.forwarding;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import dev.caroblb.core.InstanceId;
import dev.caroblb.core.PeerEnvelope;
import dev.caroblb.core.TargetId;
import dev.caroblb.core.TargetRun;
import dev.caroblb.pacing.LimitStatement;
import dev.caroblb.pacing.PeerMessage.LimitAnnouncement;
import dev.caroblb.pacing.PeerMessage.LimitReport;
import dev.caroblb.scheduling.PeerMessage;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;

/** Tests plain requests to limited targets, for which a control instance gives out permits. */
class PermitReplyTest extends ForwardingFixture {
  private static final InstanceId CONTROL = new InstanceId("control-1");
  private static final TargetId LIMITED = new TargetId("t0");

  private void receive(PeerMessage message) {
    handle(new ForwardingMessage.FromScheduler(new PeerEnvelope<>(CONTROL, message)));
  }

  private void receiveLimits(dev.caroblb.pacing.PeerMessage message) {
    handle(new ForwardingMessage.LimitsFromPeer(new PeerEnvelope<>(CONTROL, message)));
  }

  private void limit(double perSecond) {
    receiveLimits(
        new LimitAnnouncement(
            List.of(new LimitStatement(new TargetRun(LIMITED, 1), Optional.of(perSecond), 0))));
  }

  private void installLimited(int targets) {
    install(targets);
    handle(new ForwardingMessage.ControlInstancesChanged(List.of(CONTROL)));
    receive(new PeerMessage.RemoteLoadReport(9, List.of()));
    limit(5);
  }

  private long lastTicket() {
    List<Long> tickets = tickets(toPeers);
    return tickets.get(tickets.size() - 1);
  }

  private void advance(long ms) {
    nowMs += ms;
    handler.tick(nowMs);
  }

  @Nested
  class OfAWaitingRequest {
    /** Guards against a request that runs twice: at a new target and with a permit. */
    @Test
    void doesNotSendARequestThatHasBeenSentMeanwhile() {
      installLimited(1);
      arrive("/once/x");
      receive(new PeerMessage.PermitReply(lastTicket(), Optional.empty(), Optional.of(50L)));
      assertEquals(List.of(), targets.sent);
      advance(50);
      assertEquals(2, tickets(toPeers).size());
      available(1);
      assertEquals(1, targets.sent.size());
      receive(new PeerMessage.PermitReply(lastTicket(), Optional.of(LIMITED), Optional.empty()));
      assertEquals(1, targets.sent.size());
    }
  }

  @Nested
  class Late {
    /** Guards against a refusal that names the time of the own share of an instance. */
    @Test
    void requestIsNotRefusedForLongerThanTheLimitAsks() {
      installLimited(1);
      arrive("/once/x");
      advance(60);
      assertTrue(
          caller.refusals.stream().allMatch(refusal -> refusal.retryAfterMs() <= 1_000 / 5),
          caller.refusals.toString());
    }
  }

  @Nested
  class ReportOfLimits {
    private List<LimitReport> reports() {
      List<LimitReport> reports = new ArrayList<>();
      for (PeerEnvelope<dev.caroblb.pacing.PeerMessage> sent : toPacing) {
        if (sent.message() instanceof LimitReport report) {
          reports.add(report);
        }
      }
      return reports;
    }

    /** Guards against a limit that a control instance keeps because it missed the end once. */
    @Test
    void repeatsTheEndOfALimitThatIsHeardAgain() {
      installLimited(1);
      advance(2_000);
      limit(1_000);
      for (int i = 0; i < 2; i++) {
        advance(2_000);
        toPacing.clear();
        arrive("/safe/x");
        if (targets.sent.size() == i) {
          receive(
              new PeerMessage.PermitReply(lastTicket(), Optional.of(LIMITED), Optional.empty()));
        }
        advance(5);
        respond(200, "x");
        advance(200);
        boolean ended =
            reports().stream()
                .flatMap(report -> report.statements().stream())
                .anyMatch(statement -> statement.perSecond().isEmpty());
        assertTrue(ended, "response " + i);
      }
    }

    /** Guards against a reply with all limits to each part of a long report. */
    @Test
    void asksForAllLimitsOnce() {
      install(1);
      List<LimitStatement> statements = new ArrayList<>();
      for (int i = 0; i < 3 * LimitStatement.MAX_STATEMENTS; i++) {
        TargetRun run = new TargetRun(new TargetId("n" + i), 1);
        statements.add(new LimitStatement(run, Optional.of(5.0), 0));
      }
      receiveLimits(new LimitAnnouncement(statements));
      handle(new ForwardingMessage.ControlInstancesChanged(List.of(CONTROL)));
      advance(10);
      assertEquals(1, reports().stream().filter(LimitReport::wantsAll).count());
    }
  }
}
