package dev.caroblb.routing;

import dev.caroblb.core.DutyHandler;
import dev.caroblb.core.InstanceId;
import dev.caroblb.core.LogLine;
import dev.caroblb.core.Outlet;
import dev.caroblb.core.PeerEnvelope;
import dev.caroblb.core.ProposalOutcome;
import io.vavr.control.Either;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;

/**
 * Keeps the newest accepted document, activates it at this instance and distributes it to peers.
 *
 * <p>A read is answered only after the control group has committed a command proposed after the
 * read arrived. A leader lease is not sufficient: a suspended instance does not notice that its
 * lease has expired.
 */
public final class RoutingHandler implements DutyHandler<RoutingMessage> {
  private static final System.Logger LOGGER = System.getLogger(RoutingHandler.class.getName());

  /** Interval in milliseconds between two announcements of the active number. */
  static final long ANNOUNCE_INTERVAL_MS = 1_000;

  /**
   * Timeout of a proposal in milliseconds; operators switch to another instance after one second.
   */
  static final long PROPOSAL_TIMEOUT_MS = 900;

  private sealed interface PendingRequest {
    record Publish(RoutingDocument document, Outlet<PublishOutcome> reply)
        implements PendingRequest {}

    record Reads(List<Outlet<ReadOutcome>> replies) implements PendingRequest {}
  }

  private record PendingProposal(PendingRequest request, long deadlineMs) {}

  private final RoutingFormat format;
  private final CommandProposer proposer;
  private final RoutingOutlets outlets;
  private final Map<Long, PendingProposal> pending = new HashMap<>();
  private final List<Outlet<ReadOutcome>> queuedReads = new ArrayList<>();
  private Set<InstanceId> peers = Set.of();
  private Optional<RoutingDocument> accepted = Optional.empty();
  private Optional<PeerMessage.Accepted> lastSent = Optional.empty();
  private Optional<RoutingDocument> latestApplied = Optional.empty();
  private Optional<RoutingTable> undeliveredTable = Optional.empty();
  private Optional<InstanceId> leader = Optional.empty();
  private boolean isLeader;
  private boolean barrierPending;
  private long nextProposal;
  private long nextAnnounceMs;

  public RoutingHandler(RoutingFormat format, CommandProposer proposer, RoutingOutlets outlets) {
    this.format = format;
    this.proposer = proposer;
    this.outlets = outlets;
  }

  @Override
  public void handle(RoutingMessage message, long nowMs) {
    if (message instanceof RoutingMessage.Applied applied) {
      applied(applied.document());
      return;
    }
    installLatestApplied();
    if (message instanceof RoutingMessage.Publish publish) {
      publish(publish, nowMs);
    } else if (message instanceof RoutingMessage.Read read) {
      read(read.reply(), nowMs);
    } else if (message instanceof RoutingMessage.Proposed proposed) {
      proposed(proposed.proposal(), proposed.outcome(), nowMs);
    } else if (message instanceof RoutingMessage.LeaseChanged changed) {
      isLeader = changed.lease().local();
      leader = changed.lease().leader();
    } else if (message instanceof RoutingMessage.PeersChanged changed) {
      peers = changed.peers();
      announce();
    } else if (message instanceof RoutingMessage.FromPeer fromPeer) {
      received(fromPeer.received().peer(), fromPeer.received().message());
    }
  }

  /** Keeps only the newest document, because a restarted replica applies its whole log. */
  private void applied(RoutingDocument document) {
    if (latestApplied.isEmpty() || document.number() > latestApplied.get().number()) {
      latestApplied = Optional.of(document);
    }
  }

  private void installLatestApplied() {
    latestApplied.ifPresent(document -> install(document, true));
    latestApplied = Optional.empty();
  }

  @Override
  public void batchEnd(long nowMs) {
    installLatestApplied();
  }

  private void publish(RoutingMessage.Publish publish, long nowMs) {
    if (accepted.isPresent() && accepted.get().number() >= publish.document().number()) {
      publish.reply().offer(new PublishOutcome.Accepted(accepted.get().number()));
      return;
    }
    if (!isLeader) {
      publish.reply().offer(redirect());
      return;
    }
    boolean proposed =
        propose(
            new RoutingCommand.Accept(publish.document()),
            new PendingRequest.Publish(publish.document(), publish.reply()),
            nowMs);
    if (!proposed) {
      publish.reply().offer(new PublishOutcome.Unanswered());
    }
  }

  private PublishOutcome redirect() {
    return leader
        .<PublishOutcome>map(PublishOutcome.AskLeader::new)
        .orElseGet(PublishOutcome.Unanswered::new);
  }

  private void read(Outlet<ReadOutcome> reply, long nowMs) {
    if (!isLeader) {
      reply.offer(
          leader
              .<ReadOutcome>map(ReadOutcome.AskLeader::new)
              .orElseGet(ReadOutcome.Undetermined::new));
      return;
    }
    queuedReads.add(reply);
    proposeRead(nowMs);
  }

  /** Proposes a barrier for all queued reads; reads that arrive meanwhile share the next one. */
  private void proposeRead(long nowMs) {
    if (barrierPending || queuedReads.isEmpty()) {
      return;
    }
    PendingRequest.Reads reads = new PendingRequest.Reads(List.copyOf(queuedReads));
    queuedReads.clear();
    barrierPending = propose(new RoutingCommand.Barrier(), reads, nowMs);
    if (!barrierPending) {
      answer(reads, new ReadOutcome.Undetermined());
    }
  }

  private boolean propose(RoutingCommand command, PendingRequest request, long nowMs) {
    long proposal = nextProposal++;
    pending.put(proposal, new PendingProposal(request, nowMs + PROPOSAL_TIMEOUT_MS));
    boolean proposed =
        proposer.propose(
            command,
            outcome -> outlets.ownQueue().offer(new RoutingMessage.Proposed(proposal, outcome)));
    if (!proposed) {
      pending.remove(proposal);
    }
    return proposed;
  }

  private void proposed(long proposal, ProposalOutcome outcome, long nowMs) {
    PendingProposal pendingProposal = pending.remove(proposal);
    if (pendingProposal == null) {
      return;
    }
    boolean applied = outcome instanceof ProposalOutcome.Applied;
    if (pendingProposal.request() instanceof PendingRequest.Publish publish) {
      answerPublish(publish, applied);
      return;
    }
    barrierPending = false;
    answer(
        (PendingRequest.Reads) pendingProposal.request(),
        applied ? newestOutcome() : new ReadOutcome.Undetermined());
    proposeRead(nowMs);
  }

  /** The state machine offers the applied document before the outcome, so it is known here. */
  private void answerPublish(PendingRequest.Publish publish, boolean applied) {
    if (!applied) {
      publish.reply().offer(new PublishOutcome.Unanswered());
      return;
    }
    long number = accepted.map(RoutingDocument::number).orElse(publish.document().number());
    LOGGER.log(
        System.Logger.Level.INFO,
        LogLine.of("routing.accepted")
            .with("number", publish.document().number())
            .with("in_force", number)
            .toString());
    publish.reply().offer(new PublishOutcome.Accepted(number));
  }

  private ReadOutcome newestOutcome() {
    return accepted
        .<ReadOutcome>map(ReadOutcome.Newest::new)
        .orElseGet(ReadOutcome.NoDocument::new);
  }

  private static void answer(PendingRequest.Reads reads, ReadOutcome outcome) {
    reads.replies().forEach(reply -> reply.offer(outcome));
  }

  private void received(InstanceId peer, PeerMessage message) {
    if (message instanceof PeerMessage.Accepted newer) {
      install(newer.document(), false);
    } else if (message instanceof PeerMessage.ActiveNumber active) {
      accepted
          .filter(document -> document.number() > active.number())
          .ifPresent(document -> send(peer, acceptedMessage(document)));
    }
  }

  /** Activates a document with a greater number; an instance never returns to a smaller one. */
  private void install(RoutingDocument document, boolean distribute) {
    if (accepted.isPresent() && accepted.get().number() >= document.number()) {
      return;
    }
    Either<RoutingError, RoutingTable> parsed = format.read(document.body());
    if (parsed.isLeft()) {
      LOGGER.log(
          System.Logger.Level.ERROR,
          LogLine.of("routing.unreadable")
              .with("number", document.number())
              .with("cause", parsed.getLeft().message())
              .toString());
      return;
    }
    accepted = Optional.of(document);
    undeliveredTable = Optional.of(parsed.get());
    LOGGER.log(
        System.Logger.Level.INFO,
        LogLine.of("routing.in_force")
            .with("number", document.number())
            .with("source", distribute ? "agreement" : "peer")
            .toString());
    deliverTable();
    if (distribute) {
      for (InstanceId peer : peers) {
        send(peer, acceptedMessage(document));
      }
    }
  }

  /** One message for all peers, so that a long document is encoded once. */
  private PeerMessage acceptedMessage(RoutingDocument document) {
    PeerMessage.Accepted message =
        lastSent
            .filter(sent -> sent.document().equals(document))
            .orElseGet(() -> new PeerMessage.Accepted(document));
    lastSent = Optional.of(message);
    return message;
  }

  private void deliverTable() {
    if (undeliveredTable.isPresent() && outlets.tables().offer(undeliveredTable.get())) {
      undeliveredTable = Optional.empty();
    }
  }

  private void announce() {
    long number = accepted.map(RoutingDocument::number).orElse(0L);
    for (InstanceId peer : peers) {
      send(peer, new PeerMessage.ActiveNumber(number));
    }
  }

  private void send(InstanceId peer, PeerMessage message) {
    boolean unused = outlets.peers().offer(new PeerEnvelope<>(peer, message));
  }

  @Override
  public void tick(long nowMs) {
    deliverTable();
    if (nowMs >= nextAnnounceMs) {
      nextAnnounceMs = nowMs + ANNOUNCE_INTERVAL_MS;
      announce();
    }
    expire(nowMs);
  }

  private void expire(long nowMs) {
    List<Long> expired = new ArrayList<>();
    pending.forEach(
        (proposal, pendingProposal) -> {
          if (nowMs >= pendingProposal.deadlineMs()) {
            expired.add(proposal);
          }
        });
    for (long proposal : expired) {
      proposed(proposal, new ProposalOutcome.Unknown(), nowMs);
    }
  }

  @Override
  public long nextTickMs() {
    long due = nextAnnounceMs;
    for (PendingProposal pendingProposal : pending.values()) {
      due = Math.min(due, pendingProposal.deadlineMs());
    }
    return due;
  }
}
