package dev.caroblb.configuration;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertInstanceOf;
import static org.junit.jupiter.api.Assertions.assertTrue;

import dev.caroblb.core.GroupId;
import dev.caroblb.core.InstanceId;
import dev.caroblb.core.LeaderLease;
import dev.caroblb.core.Outlet;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;

class LeaderRoleTest {
  private static final InstanceId SELF = new InstanceId("r0");
  private static final InstanceId ENTRY = new InstanceId("e0");
  private static final long FOREVER = 1_000_000;

  private final List<PeerMessage> sent = new ArrayList<>();
  private final List<ConfigurationCommand> proposed = new ArrayList<>();
  private final List<Outlet<CommandOutcome>> replies = new ArrayList<>();
  private final ConfigurationCounters counters = new ConfigurationCounters();
  private final PendingProposals proposals =
      new PendingProposals(
          (command, reply) -> {
            proposed.add(command);
            return replies.add(reply);
          },
          this::finish,
          counters);
  private final LeaderRole leader =
      new LeaderRole(
          SELF, (peer, message) -> sent.add(message), proposals, counters, FileChunks.CHUNK_BYTES);

  private boolean finish(ConfigurationMessage message) {
    proposals.commandFinished((ConfigurationMessage.CommandFinished) message);
    return true;
  }

  private void lead(long term, long untilMs, long nowMs) {
    leader.leaseChanged(
        new LeaderLease(GroupId.CONTROL, term, Optional.of(SELF), true, untilMs), nowMs);
    leader.tick(nowMs);
  }

  private void passBarrier(long number) {
    assertTrue(
        replies
            .get(replies.size() - 1)
            .offer(new CommandOutcome.Applied(new CommandResult.BarrierPassed(number))));
  }

  private PeerMessage renew(long installed, long nowMs) {
    leader.renewalRequested(
        ENTRY, new PeerMessage.RenewRequest("p", 1, installed, FileCursor.after(installed)), nowMs);
    return sent.get(sent.size() - 1);
  }

  private static ConfigurationState stateAt(long number) {
    StoredFile file = new StoredFile("t.toml", "team = \"t\"", "t", List.of(), number);
    return ConfigurationState.restored(number, List.of(file), List.of());
  }

  private PublishAnswer publish(long number, String text, long nowMs) {
    Publish publish = new Publish(number, "p", List.of(new PublishedFile("t.toml", text)));
    leader.publishForwarded(ENTRY, new PeerMessage.PublishForward("p", number, publish), nowMs);
    return ((PeerMessage.PublishReply) sent.get(sent.size() - 1)).answer();
  }

  @Nested
  class NewLeader {
    /** Guards against granting leases under a state older than one that was in force. */
    @Test
    void grantsNothingBeforeItsStateReachedTheBarrier() {
      lead(1, FOREVER, 0);
      assertInstanceOf(PeerMessage.LeaderHint.class, renew(0, 0));
      passBarrier(4);
      assertInstanceOf(PeerMessage.LeaderHint.class, renew(0, 0));
      leader.stateApplied(stateAt(4));
      assertEquals(4, ((PeerMessage.RenewAnswer) renew(0, 0)).number());
    }

    /** Guards against using a barrier of an earlier term in a later one. */
    @Test
    void needsABarrierOfItsOwnTerm() {
      lead(1, FOREVER, 0);
      lead(2, FOREVER, 0);
      assertEquals(2, proposed.size());
      assertTrue(
          replies.get(0).offer(new CommandOutcome.Applied(new CommandResult.BarrierPassed(0))));
      assertInstanceOf(PeerMessage.LeaderHint.class, renew(0, 0));
    }

    /** Guards against a barrier that is not proposed again after it failed. */
    @Test
    void proposesTheBarrierAgain() {
      lead(1, FOREVER, 0);
      assertTrue(replies.get(0).offer(new CommandOutcome.Unknown()));
      leader.tick(50);
      assertEquals(2, proposed.size());
    }
  }

  @Nested
  class IsolatedLeader {
    /** Guards against a leader that still acts because it does not know that it was replaced. */
    @Test
    void doesNotActAfterItsLease() {
      lead(1, 1_000, 0);
      passBarrier(0);
      assertInstanceOf(PeerMessage.RenewAnswer.class, renew(0, 999));
      assertInstanceOf(PeerMessage.LeaderHint.class, renew(0, 1_000));
    }
  }

  @Nested
  class Publishes {
    private void accept(long number, long nowMs) {
      Publish publish =
          new Publish(number, "p", List.of(new PublishedFile("t.toml", "team = \"t\"")));
      leader.publishForwarded(ENTRY, new PeerMessage.PublishForward("p", number, publish), nowMs);
      leader.stateApplied(stateAt(number));
      assertTrue(
          replies
              .get(replies.size() - 1)
              .offer(new CommandOutcome.Applied(new CommandResult.Accepted(number))));
    }

    private PublishOutcome lastOutcome() {
      return ((PeerMessage.PublishReply) sent.get(sent.size() - 1)).answer().outcome();
    }

    /** Guards against the answer "in force" while an entry with a lease has an older number. */
    @Test
    void areInForceOnlyWhenInstalledByEveryLeaseHolder() {
      lead(1, FOREVER, 0);
      passBarrier(0);
      leader.tick(LeaseHolders.LEASE_WITH_DRIFT_MS);
      renew(0, 5_000);
      accept(1, 5_000);
      leader.tick(9_039);
      assertEquals(PublishOutcome.ACCEPTED, lastOutcome());
      leader.tick(9_089);
      assertEquals(PublishOutcome.IN_FORCE, lastOutcome());
    }

    /** Guards against a new leader that ignores the leases granted by its predecessor. */
    @Test
    void areNotInForceDuringTheWaitOfANewLeader() {
      lead(1, FOREVER, 0);
      passBarrier(0);
      accept(1, 0);
      leader.tick(LeaseHolders.LEASE_WITH_DRIFT_MS - 1);
      assertEquals(PublishOutcome.ACCEPTED, lastOutcome());
      leader.tick(LeaseHolders.LEASE_WITH_DRIFT_MS + 50);
      assertEquals(PublishOutcome.IN_FORCE, lastOutcome());
    }

    /** Guards against proposing files that entries cannot install. */
    @Test
    void withErrorsAreNotProposed() {
      lead(1, FOREVER, 0);
      passBarrier(0);
      PublishAnswer answer = publish(1, "team = 1", 0);
      assertEquals(PublishOutcome.INVALID, answer.outcome());
      assertEquals("team", answer.errors().get(0).key());
      assertEquals(1, proposed.size());
    }
  }

  @Nested
  class Holders {
    /** Guards against treating a lease as expired before it has expired on a slower clock. */
    @Test
    void countForTheLeasePlusOnePercent() {
      LeaseHolders holders = new LeaseHolders();
      holders.restart(0);
      holders.recordGrant(ENTRY, "p", 1, 5_000);
      assertEquals(1, holders.inForce(2, 9_039));
      assertEquals(2, holders.inForce(2, 9_040));
    }
  }
}
