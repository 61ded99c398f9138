package dev.caroblb.membership;

import dev.caroblb.core.DutyHandler;
import dev.caroblb.core.InstanceId;
import dev.caroblb.core.Outlet;
import dev.caroblb.core.TargetId;
import java.util.ArrayList;
import java.util.Collection;
import java.util.HashSet;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Optional;
import java.util.Set;

/**
 * Maintains the tables of instances and targets, forwards announcements, recovers lost ones by
 * comparing digests, and runs the planned stop of this instance.
 */
public final class MembershipHandler implements DutyHandler<MembershipMessage> {
  public static final long HEARTBEAT_MS = 500;
  public static final long DIGEST_MS = 1_000;
  public static final long DEFAULT_DRAIN_LIMIT_MS = 600_000;

  /** Interval at which silence of instances and targets is checked. */
  private static final long TICK_MS = 100;

  private static final long ALWAYS = Long.MAX_VALUE;

  private final LocalInstance self;
  private final TargetSelection selection;
  private final Outlet<InstanceView> viewOutlet;
  private final TransitTimes transit;
  private final Topology topology;
  private final PeerSender sender;
  private final TargetTable targets = new TargetTable();
  private final InstanceTable instances = new InstanceTable();
  private final EntryLog entryLog = new EntryLog(instances);
  private final TargetChangeNotifier targetNotifier;
  private final LocalDrain drain;

  private Set<TargetId> followed = Set.of();

  /**
   * Targets that sent an announcement without news since the last heartbeat. They are forwarded in
   * batches, because forwarding each of them immediately caused most of the messages that an idle
   * instance received.
   */
  private final Set<TargetId> refreshedTargets = new LinkedHashSet<>();

  /** Whether a target was added, was removed or changed what it serves since the last selection. */
  private boolean selectionDue;

  private Optional<InstanceView> offeredView = Optional.empty();
  private long configuration;
  private final TargetCatchUp catchUp = new TargetCatchUp();
  private long admitsUntilMs = ALWAYS;
  private InstanceState sentState = InstanceState.READY;
  private Optional<InstanceResources> resources = Optional.empty();
  private long heartbeatSequence;
  private long nextHeartbeatMs;
  private long nextDigestMs;
  private long nextTickMs;

  public MembershipHandler(
      LocalInstance self,
      Topology topology,
      long drainLimitMs,
      TargetSelection selection,
      MembershipOutlets outlets) {
    this.self = self;
    this.selection = selection;
    this.viewOutlet = outlets.view();
    this.transit = new TransitTimes(self.incarnation());
    this.topology = topology;
    this.sender = new PeerSender(topology, outlets.peers(), transit);
    this.targetNotifier = new TargetChangeNotifier(outlets.targets());
    this.drain = new LocalDrain(drainLimitMs, outlets.drain());
  }

  @Override
  public void handle(MembershipMessage message, long nowMs) {
    if (message instanceof MembershipMessage.Announced announced) {
      announcementReceived(announced.announcement(), nowMs);
    } else if (message instanceof MembershipMessage.FromPeer peer) {
      peerMessageReceived(peer.received().peer(), peer.received().message(), nowMs);
    } else if (message instanceof MembershipMessage.ConfigurationInstalled installed) {
      configurationInstalled(installed.number(), nowMs);
    } else if (message instanceof MembershipMessage.AdmitsUntil admits) {
      admitsUntilMs = admits.untilMs();
      announceStateChange(nowMs);
    } else if (message instanceof MembershipMessage.Withdrawn withdrawn) {
      withdrawn.known().offer(withdraw(withdrawn.target(), nowMs));
    } else if (message instanceof MembershipMessage.LeavingObserved observed) {
      leavingObserved(observed, nowMs);
    } else if (message instanceof MembershipMessage.StopRequested) {
      drain.request(nowMs);
      drain.reportStages(nowMs);
      sendHeartbeat(nowMs);
      offerView(nowMs);
    }
    notifyTargetChanges(nowMs);
  }

  /** Announces the first configuration at once: callers get this instance only after it. */
  private void configurationInstalled(long number, long nowMs) {
    boolean first = configuration == 0;
    configuration = Math.max(configuration, number);
    if (first) {
      sendHeartbeat(nowMs);
      offerView(nowMs);
    }
  }

  private void announcementReceived(Announcement announcement, long nowMs) {
    Optional<TargetRecord> before = targets.find(announcement.target());
    if (isDuplicate(announcement)
        || !merge(new TargetRecord(announcement, Optional.of(nowMs), nowMs))) {
      return;
    }
    if (before.filter(known -> announcement.onlyRefreshes(known.announcement())).isPresent()) {
      refreshedTargets.add(announcement.target());
      return;
    }
    targets
        .find(announcement.target())
        .ifPresent(merged -> sender.forward(List.of(merged.agedAt(nowMs)), nowMs));
  }

  private void forwardRefreshedTargets(long nowMs) {
    List<AgedAnnouncement> records = new ArrayList<>();
    for (TargetId target : refreshedTargets) {
      targets.find(target).ifPresent(known -> records.add(known.agedAt(nowMs)));
    }
    refreshedTargets.clear();
    sender.forward(records, nowMs);
  }

  private boolean withdraw(TargetId target, long nowMs) {
    Optional<TargetRecord> known = targets.find(target);
    if (known.isEmpty()) {
      return false;
    }
    markLeaving(known.get(), nowMs);
    return true;
  }

  private void leavingObserved(MembershipMessage.LeavingObserved observed, long nowMs) {
    targets
        .find(observed.target())
        .filter(known -> known.announcement().incarnation() == observed.incarnation())
        .ifPresent(known -> markLeaving(known, nowMs));
  }

  private void markLeaving(TargetRecord known, long nowMs) {
    TargetRecord leaving = known.asLeaving();
    if (merge(leaving)) {
      sender.forward(List.of(leaving.agedAt(nowMs)), nowMs);
    }
  }

  /**
   * Whether the announcement is already known. A duplicate that the network delivers late does not
   * show that the target is alive.
   */
  private boolean isDuplicate(Announcement announcement) {
    return targets
        .find(announcement.target())
        .map(known -> known.announcement().summary().equals(announcement.summary()))
        .orElse(false);
  }

  private void peerMessageReceived(InstanceId peer, PeerMessage message, long nowMs) {
    if (message instanceof PeerMessage.Heartbeat heartbeat) {
      heartbeatReceived(peer, heartbeat, nowMs);
    } else if (message instanceof PeerMessage.Records records) {
      recordsReceived(records, nowMs);
    } else if (message instanceof PeerMessage.Digest digest) {
      digestReceived(peer, digest.targets());
    } else if (message instanceof PeerMessage.Request request) {
      sender.sendRecords(peer, targets.announcementsNewerThan(request.known(), nowMs), nowMs);
    }
  }

  private void heartbeatReceived(InstanceId peer, PeerMessage.Heartbeat heartbeat, long nowMs) {
    boolean known = topology.peers().contains(peer);
    topology.heartbeatReceived(peer, heartbeat.contacts(), nowMs);
    if (!known && topology.peers().contains(peer)) {
      sender.send(peer, heartbeatMessage(nowMs));
      sender.send(peer, new PeerMessage.Digest(targets.digest()));
    }
    InstanceTable.MergeResult merge = instances.merge(peer, heartbeat, nowMs);
    if (merge == InstanceTable.MergeResult.STALE) {
      entryLog.heartbeatIgnored(peer, heartbeat);
      return;
    }
    transit.heartbeatReceived(peer, heartbeat, nowMs);
    if (merge == InstanceTable.MergeResult.CHANGED) {
      offerView(nowMs);
    }
  }

  private void recordsReceived(PeerMessage.Records records, long nowMs) {
    Optional<Long> transitMs = transit.maxTransitMs(records.echo(), nowMs);
    for (AgedAnnouncement aged : records.records()) {
      Optional<Long> heardAtMs = transitMs.map(ms -> nowMs - ms - aged.ageMs());
      merge(new TargetRecord(aged.announcement(), heardAtMs, nowMs));
    }
  }

  private void digestReceived(InstanceId peer, List<TargetSummary> digest) {
    catchUp.digestReceived(digest);
    for (TargetSummary theirs : digest) {
      if (targets.markLeaving(theirs)) {
        targetNotifier.markChanged(theirs.target());
      }
    }
    List<TargetSummary> toRequest = targets.summariesToRequest(digest);
    if (!toRequest.isEmpty()) {
      sender.send(peer, new PeerMessage.Request(toRequest));
    }
  }

  private boolean merge(TargetRecord offered) {
    TargetId target = offered.announcement().target();
    Optional<TargetRecord> before = targets.find(target);
    if (!targets.merge(offered)) {
      return false;
    }
    targetNotifier.markChanged(target);
    boolean servesSame =
        before
            .map(b -> b.announcement().serves().equals(offered.announcement().serves()))
            .orElse(false);
    selectionDue |= !servesSame;
    return true;
  }

  private void notifyTargetChanges(long nowMs) {
    if (selectionDue) {
      selectionDue = false;
      updateFollowed();
    }
    targetNotifier.flush(targets, followed, nowMs);
  }

  private void updateFollowed() {
    List<Announcement> known = new ArrayList<>();
    for (TargetRecord target : targets.all()) {
      known.add(target.announcement());
    }
    Set<TargetId> chosen = selection.select(self.id(), known);
    markAllChanged(difference(chosen, followed));
    markAllChanged(difference(followed, chosen));
    followed = Set.copyOf(chosen);
  }

  private static Set<TargetId> difference(Set<TargetId> of, Set<TargetId> without) {
    Set<TargetId> rest = new HashSet<>(of);
    rest.removeAll(without);
    return rest;
  }

  private void markAllChanged(Collection<TargetId> changed) {
    changed.forEach(targetNotifier::markChanged);
  }

  @Override
  public void tick(long nowMs) {
    nextTickMs = nowMs + TICK_MS;
    announceStateChange(nowMs);
    if (nowMs >= nextHeartbeatMs) {
      sendHeartbeat(nowMs);
      forwardRefreshedTargets(nowMs);
    }
    if (nowMs >= nextDigestMs) {
      nextDigestMs = nowMs + DIGEST_MS;
      sender.sendDigests(targets.digest());
      forget(nowMs);
    }
    if (!topology.disconnected(nowMs)) {
      targetNotifier.markSilentTargets(targets, nowMs);
    }
    notifyTargetChanges(nowMs);
    drain.reportStages(nowMs);
    offerView(nowMs);
  }

  private void forget(long nowMs) {
    instances.forget(nowMs);
    List<TargetId> forgotten = targets.forget(nowMs);
    if (!forgotten.isEmpty()) {
      markAllChanged(forgotten);
      selectionDue = true;
    }
  }

  private InstanceState stateAt(long nowMs) {
    if (drain.state() != InstanceState.READY) {
      return drain.state();
    }
    boolean admits =
        admitsUntilMs == ALWAYS || (catchUp.completeAt(targets, nowMs) && nowMs < admitsUntilMs);
    return admits ? InstanceState.READY : InstanceState.NOT_ADMITTING;
  }

  private void announceStateChange(long nowMs) {
    if (stateAt(nowMs) != sentState) {
      sendHeartbeat(nowMs);
      offerView(nowMs);
    }
  }

  private void sendHeartbeat(long nowMs) {
    sentState = stateAt(nowMs);
    nextHeartbeatMs = nowMs + HEARTBEAT_MS;
    topology.expire(nowMs);
    sender.broadcast(heartbeatMessage(nowMs));
  }

  private PeerMessage.Heartbeat heartbeatMessage(long nowMs) {
    heartbeatSequence++;
    resources = self.resources().at(nowMs);
    return new PeerMessage.Heartbeat(
        self.incarnation(),
        heartbeatSequence,
        stateAt(nowMs),
        configuration,
        self.domain(),
        self.address(),
        nowMs,
        topology.contacts(),
        resources);
  }

  private void offerView(long nowMs) {
    InstanceRecord own =
        new InstanceRecord(
            self.id(),
            self.incarnation(),
            stateAt(nowMs),
            configuration,
            self.domain(),
            self.address(),
            resources);
    Optional<InstanceView> view = Optional.of(instances.view(own, nowMs));
    if (!view.equals(offeredView) && viewOutlet.offer(view.get())) {
      offeredView = view;
      entryLog.entriesChanged(view.get(), nowMs);
    }
  }

  @Override
  public long nextTickMs() {
    return nextTickMs;
  }

  /** Number of messages to other instances that were dropped because the transport was full. */
  public long sendsRefused() {
    return sender.refused();
  }

  /** Number of new targets that were rejected because the table was full. */
  public long targetsRefused() {
    return targets.refused();
  }
}
