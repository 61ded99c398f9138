package dev.caroblb.routing;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import dev.caroblb.core.GroupId;
import dev.caroblb.core.InstanceId;
import dev.caroblb.core.LeaderLease;
import dev.caroblb.core.Outlet;
import dev.caroblb.core.Payload;
import dev.caroblb.core.PeerEnvelope;
import dev.caroblb.core.ProposalOutcome;
import io.vavr.control.Either;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;

class RoutingHandlerTest {
  private static final InstanceId SELF = new InstanceId("self");
  private static final InstanceId PEER = new InstanceId("peer");

  private record Proposal(RoutingCommand command, Outlet<ProposalOutcome> reply) {}

  private final List<Proposal> proposals = new ArrayList<>();
  private final List<PeerEnvelope<PeerMessage>> sent = new ArrayList<>();
  private final List<Long> installed = new ArrayList<>();
  private final List<PublishOutcome> published = new ArrayList<>();
  private final List<ReadOutcome> read = new ArrayList<>();
  private final List<RoutingMessage> ownQueue = new ArrayList<>();
  private long nowMs;
  private final RoutingHandler handler =
      new RoutingHandler(
          RoutingHandlerTest::parse,
          (command, reply) -> proposals.add(new Proposal(command, reply)),
          new RoutingOutlets(sent::add, table -> installed.add(table.number()), ownQueue::add));

  private static Either<RoutingError, RoutingTable> parse(Payload body) {
    return Either.right(
        new RoutingTable(
            Long.parseLong(body.text()),
            List.of(),
            Map.of(),
            new CallerLimits(1, 1, 1, 1),
            Optional.empty()));
  }

  private static RoutingDocument document(long number) {
    return new RoutingDocument(number, Payload.ofText(Long.toString(number)));
  }

  private void handle(RoutingMessage message) {
    handler.handle(message, nowMs);
  }

  private void lead(boolean local) {
    handle(
        new RoutingMessage.LeaseChanged(
            new LeaderLease(GroupId.CONTROL, 1, Optional.of(local ? SELF : PEER), local, 0)));
  }

  private void publish(long number) {
    handle(new RoutingMessage.Publish(document(number), published::add));
  }

  private void outcome(int proposal, ProposalOutcome outcome) {
    proposals.get(proposal).reply().offer(outcome);
    ownQueue.forEach(this::handle);
    ownQueue.clear();
  }

  private void apply(int proposal, long number) {
    handle(new RoutingMessage.Applied(document(number)));
    outcome(proposal, new ProposalOutcome.Applied(Payload.empty()));
  }

  @Nested
  class Publishing {
    /** Guards against acknowledging a document before it is committed. */
    @Test
    void isAcknowledgedOnceApplied() {
      lead(true);
      publish(4);
      assertEquals(List.of(), published);
      apply(0, 4);
      assertEquals(List.of(new PublishOutcome.Accepted(4)), published);
      assertEquals(List.of(4L), installed);
    }

    /** Guards against rejecting a publish that is retried because its response was lost. */
    @Test
    void oldNumberIsAcknowledgedAndChangesNothing() {
      lead(true);
      handle(new RoutingMessage.Applied(document(7)));
      publish(7);
      publish(3);
      assertEquals(0, proposals.size());
      assertEquals(
          List.of(new PublishOutcome.Accepted(7), new PublishOutcome.Accepted(7)), published);
    }

    /** Guards against reporting success or failure when the outcome of a proposal is unknown. */
    @Test
    void unknownOutcomeIsReported() {
      lead(true);
      publish(4);
      outcome(0, new ProposalOutcome.Unknown());
      publish(5);
      nowMs += RoutingHandler.PROPOSAL_TIMEOUT_MS;
      handler.tick(nowMs);
      assertEquals(
          List.of(new PublishOutcome.Unanswered(), new PublishOutcome.Unanswered()), published);
    }

    /** Guards against a follower that accepts a document itself. */
    @Test
    void isSentToTheLeader() {
      lead(false);
      publish(4);
      assertEquals(List.of(new PublishOutcome.AskLeader(PEER)), published);
    }
  }

  @Nested
  class Reading {
    /** Guards against stale reads from a leader that was replaced while it was suspended. */
    @Test
    void waitsForACommitAfterTheRead() {
      lead(true);
      handle(new RoutingMessage.Applied(document(4)));
      handle(new RoutingMessage.Read(read::add));
      assertEquals(List.of(), read);
      outcome(0, new ProposalOutcome.NotLeader(Optional.of(PEER)));
      assertEquals(List.of(new ReadOutcome.Undetermined()), read);
    }

    /** Guards against a read that is answered by a barrier proposed before the read. */
    @Test
    void readDuringABarrierWaitsForTheNextOne() {
      lead(true);
      handle(new RoutingMessage.Applied(document(4)));
      handle(new RoutingMessage.Read(read::add));
      handle(new RoutingMessage.Read(read::add));
      outcome(0, new ProposalOutcome.Applied(Payload.empty()));
      assertEquals(1, read.size());
      assertEquals(2, proposals.size());
      outcome(1, new ProposalOutcome.Applied(Payload.empty()));
      assertEquals(new ReadOutcome.Newest(document(4)), read.get(1));
    }

    /** Guards against an unconfirmed read result when no leader is known. */
    @Test
    void isUndeterminedWithoutALeader() {
      handle(new RoutingMessage.Read(read::add));
      assertEquals(List.of(new ReadOutcome.Undetermined()), read);
    }
  }

  @Nested
  class Distribution {
    /** Guards against an instance that returns to an older document. */
    @Test
    void neverReturnsToAnOlderDocument() {
      for (long number : new long[] {5, 3, 8, 8, 6}) {
        handle(
            new RoutingMessage.FromPeer(
                new PeerEnvelope<>(PEER, new PeerMessage.Accepted(document(number)))));
      }
      assertEquals(List.of(5L, 8L), installed);
    }

    /** Guards against an instance that missed a document and never gets it. */
    @Test
    void sendsTheDocumentToAPeerWithAnOlderNumber() {
      handle(new RoutingMessage.Applied(document(5)));
      handle(
          new RoutingMessage.FromPeer(new PeerEnvelope<>(PEER, new PeerMessage.ActiveNumber(4))));
      assertEquals(
          List.of(new PeerEnvelope<PeerMessage>(PEER, new PeerMessage.Accepted(document(5)))),
          sent);
      sent.clear();
      handle(
          new RoutingMessage.FromPeer(new PeerEnvelope<>(PEER, new PeerMessage.ActiveNumber(5))));
      assertTrue(sent.isEmpty());
    }

    /**
     * Guards against an instance that installs each document of the log in turn after a restart.
     */
    @Test
    void installsOnlyTheNewestOfABatch() {
      handle(new RoutingMessage.PeersChanged(Set.of(PEER)));
      sent.clear();
      for (long number : new long[] {2, 10, 16, 101}) {
        handle(new RoutingMessage.Applied(document(number)));
      }
      handler.batchEnd(nowMs);
      assertEquals(List.of(101L), installed);
      assertEquals(1, sent.size());
    }

    /** Guards against a change that is sent only after the next announcement of the peers. */
    @Test
    void sendsAChangeToPeersImmediately() {
      handle(new RoutingMessage.PeersChanged(Set.of(PEER)));
      sent.clear();
      handle(new RoutingMessage.Applied(document(5)));
      handler.batchEnd(nowMs);
      assertEquals(
          List.of(new PeerEnvelope<PeerMessage>(PEER, new PeerMessage.Accepted(document(5)))),
          sent);
    }
  }
}
