package dev.caroblb.daemon;

import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import dev.caroblb.core.FailureDomain;
import dev.caroblb.core.InstanceId;
import dev.caroblb.core.Payload;
import dev.caroblb.core.SystemMillisClock;
import dev.caroblb.forwarding.AttemptOrder;
import dev.caroblb.forwarding.ForwardingSettings;
import dev.caroblb.forwarding.MoveOrder;
import dev.caroblb.forwarding.TargetPort;
import dev.caroblb.membership.LocalResources;
import dev.caroblb.membership.MembershipMessage;
import dev.caroblb.routing.RoutingError;
import dev.caroblb.routing.RoutingTable;
import dev.caroblb.transport.PeerDirectory;
import io.vavr.control.Either;
import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;

class ForwardingInstanceTest {
  private static final InstanceId SELF = new InstanceId("entry");
  private static final FailureDomain DOMAIN = new FailureDomain("zone-a");
  private static final long DRAIN_LIMIT_MS = 7_300;
  private static final long TIMEOUT_MS = 5_000;
  private static final long POLL_MS = 10;

  private ForwardingInstance instance;

  private static final class NoTargets implements TargetPort {
    @Override
    public void start(AttemptOrder order) {}

    @Override
    public void cancel(long call, int attempt) {}

    @Override
    public void acknowledge(long call, int attempt) {}

    @Override
    public void move(MoveOrder order) {}
  }

  private static Either<RoutingError, RoutingTable> read(Payload body) {
    throw new UnsupportedOperationException("no table is published");
  }

  @BeforeEach
  void create() throws IOException {
    instance =
        new ForwardingInstance(
            new ForwardingInstanceSettings(
                SELF,
                DOMAIN,
                "test",
                "",
                new InetSocketAddress(InetAddress.getLoopbackAddress(), 0),
                PeerDirectory.fixed(Map.of()),
                List.of(),
                true,
                1,
                Optional.empty(),
                Optional.of("127.0.0.1:1"),
                DRAIN_LIMIT_MS,
                new ForwardingSettings(SELF, DOMAIN, 10, 1 << 20, 0.2, 10_000, 10),
                LocalResources.UNKNOWN,
                true),
            ForwardingInstanceTest::read,
            new NoTargets(),
            new SystemMillisClock());
  }

  @AfterEach
  void close() {
    instance.close();
  }

  @Nested
  class PlannedStop {
    private void fillMembershipRing() {
      boolean accepted = true;
      while (accepted) {
        accepted = instance.membership().offer(new MembershipMessage.ConfigurationInstalled(0));
      }
    }

    private boolean awaitDraining() throws InterruptedException {
      for (long waitedMs = 0; waitedMs < TIMEOUT_MS; waitedMs += POLL_MS) {
        if (instance.draining()) {
          return true;
        }
        TimeUnit.MILLISECONDS.sleep(POLL_MS);
      }
      return false;
    }

    /** Guards against a signal that is lost because the ring of the membership duty is full. */
    @Test
    void startsOnceTheMembershipDutyTakesTheRequest() throws Exception {
      fillMembershipRing();
      instance.requestStop();
      assertFalse(instance.draining());
      instance.start();
      assertTrue(awaitDraining(), "the stop was not started");
    }
  }
}
