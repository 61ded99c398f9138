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
 * Keeps the tables of instances and targets, forwards announcements, repairs lost ones by digests,
 * and runs the planned stop of this instance.
 */
public final class MembershipHandler implements DutyHandler<MembershipMessage> {
  public static final long HEARTBEAT_MS = 500;
  public static final long DIGEST_MS = 1_000;
  public static final long DEFAULT_DRAIN_LIMIT_MS = 600_000;

  /** Precision with which silence is noticed. */
  private static final long TICK_MS = 100;

  private final LocalInstance self;
  private final TargetSelection selection;
  private final Outlet<InstanceView> viewOutlet;
  private final TransitTimes transit;
  private final Topology topology;
  private final PeerSender sender;
  private final TargetTable targets = new TargetTable();
  private final InstanceTable instances = new InstanceTable();
  private final TargetPublisher publisher;
  private final LocalDrain drain;

  private Set<TargetId> followed = Set.of();

  /**
   * Targets that were heard of without news since the last heartbeat. Forwarding each of these
   * announcements at once was most of what an idle instance received.
   */
  private final Set<TargetId> heardAgain = new LinkedHashSet<>();

  /** Whether a target came, went or serves something else since the last selection. */
  private boolean selectionDue;

  private Optional<InstanceView> publishedView = Optional.empty();
  private long configuration;
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
    this.publisher = new TargetPublisher(outlets.targets());
    this.drain = new LocalDrain(drainLimitMs, outlets.drain());
  }

  @Override
  public void handle(MembershipMessage message, long nowMs) {
    if (message instanceof MembershipMessage.Announced announced) {
      announced(announced.announcement(), nowMs);
    } else if (message instanceof MembershipMessage.FromPeer peer) {
      fromPeer(peer.received().peer(), peer.received().message(), nowMs);
    } else if (message instanceof MembershipMessage.ConfigurationInForce inForce) {
      configuration = Math.max(configuration, inForce.number());
    } else if (message instanceof MembershipMessage.Withdrawn withdrawn) {
      withdrawn.known().offer(withdraw(withdrawn.target(), nowMs));
    } else if (message instanceof MembershipMessage.StopRequested) {
      drain.request(nowMs);
      drain.report(nowMs);
      sendHeartbeat(nowMs);
      publishView(nowMs);
    }
    publishTargets(nowMs);
  }

  private void announced(Announcement announcement, long nowMs) {
    Optional<TargetRecord> before = targets.find(announcement.target());
    if (repeated(announcement)
        || !merge(new TargetRecord(announcement, Optional.of(nowMs), nowMs))) {
      return;
    }
    if (before.filter(known -> announcement.repeats(known.announcement())).isPresent()) {
      heardAgain.add(announcement.target());
      return;
    }
    targets
        .find(announcement.target())
        .ifPresent(merged -> sender.forward(List.of(merged.agedAt(nowMs)), nowMs));
  }

  private void forwardHeardAgain(long nowMs) {
    List<AgedAnnouncement> records = new ArrayList<>();
    for (TargetId target : heardAgain) {
      targets.find(target).ifPresent(known -> records.add(known.agedAt(nowMs)));
    }
    heardAgain.clear();
    sender.forward(records, nowMs);
  }

  private boolean withdraw(TargetId target, long nowMs) {
    Optional<TargetRecord> known = targets.find(target);
    if (known.isEmpty()) {
      return false;
    }
    if (merge(known.get().asLeaving())) {
      sender.forward(List.of(known.get().asLeaving().agedAt(nowMs)), nowMs);
    }
    return true;
  }

  /** A copy that the network delivers late is no sign of life. */
  private boolean repeated(Announcement announcement) {
    return targets
        .find(announcement.target())
        .map(known -> known.announcement().summary().equals(announcement.summary()))
        .orElse(false);
  }

  private void fromPeer(InstanceId peer, PeerMessage message, long nowMs) {
    if (message instanceof PeerMessage.Heartbeat heartbeat) {
      heartbeat(peer, heartbeat, nowMs);
    } else if (message instanceof PeerMessage.Records records) {
      received(records, nowMs);
    } else if (message instanceof PeerMessage.Digest digest) {
      compare(peer, digest.targets());
    } else if (message instanceof PeerMessage.Request request) {
      sender.records(peer, targets.newerThan(request.known(), nowMs), nowMs);
    }
  }

  private void heartbeat(InstanceId peer, PeerMessage.Heartbeat heartbeat, long nowMs) {
    boolean known = topology.peers().contains(peer);
    topology.heard(peer, heartbeat.contacts(), nowMs);
    if (!known && topology.peers().contains(peer)) {
      sender.send(peer, heartbeatMessage(nowMs));
      sender.send(peer, new PeerMessage.Digest(targets.digest()));
    }
    InstanceTable.Merge merge = instances.merge(peer, heartbeat, nowMs);
    if (merge == InstanceTable.Merge.STALE) {
      return;
    }
    transit.heartbeat(peer, heartbeat, nowMs);
    if (merge == InstanceTable.Merge.CHANGED) {
      publishView(nowMs);
    }
  }

  private void received(PeerMessage.Records records, long nowMs) {
    Optional<Long> underWay = transit.transit(records.echo(), nowMs);
    for (AgedAnnouncement aged : records.records()) {
      Optional<Long> heardAt = underWay.map(ms -> nowMs - ms - aged.ageMs());
      merge(new TargetRecord(aged.announcement(), heardAt, nowMs));
    }
  }

  private void compare(InstanceId peer, List<TargetSummary> digest) {
    for (TargetSummary theirs : digest) {
      if (targets.markLeaving(theirs)) {
        publisher.touch(theirs.target());
      }
    }
    List<TargetSummary> behind = targets.behind(digest);
    if (!behind.isEmpty()) {
      sender.send(peer, new PeerMessage.Request(behind));
    }
  }

  private boolean merge(TargetRecord offered) {
    TargetId target = offered.announcement().target();
    Optional<TargetRecord> before = targets.find(target);
    if (!targets.merge(offered)) {
      return false;
    }
    publisher.touch(target);
    boolean servesSame =
        before
            .map(b -> b.announcement().serves().equals(offered.announcement().serves()))
            .orElse(false);
    selectionDue |= !servesSame;
    return true;
  }

  private void publishTargets(long nowMs) {
    if (selectionDue) {
      selectionDue = false;
      follow();
    }
    publisher.flush(targets, followed, nowMs);
  }

  private void follow() {
    List<Announcement> known = new ArrayList<>();
    for (TargetRecord entry : targets.all()) {
      known.add(entry.announcement());
    }
    Set<TargetId> chosen = selection.select(self.id(), known);
    touchAll(difference(chosen, followed));
    touchAll(difference(followed, chosen));
    followed = Set.copyOf(chosen);
  }

  private static Set<TargetId> difference(Set<TargetId> of, Set<TargetId> without) {
    Set<TargetId> rest = new HashSet<>(of);
    rest.removeAll(without);
    return rest;
  }

  private void touchAll(Collection<TargetId> changed) {
    changed.forEach(publisher::touch);
  }

  @Override
  public void tick(long nowMs) {
    nextTickMs = nowMs + TICK_MS;
    if (nowMs >= nextHeartbeatMs) {
      sendHeartbeat(nowMs);
      forwardHeardAgain(nowMs);
    }
    if (nowMs >= nextDigestMs) {
      nextDigestMs = nowMs + DIGEST_MS;
      sender.digest(targets.digest());
      forget(nowMs);
    }
    if (!topology.outOfTouch(nowMs)) {
      publisher.touchSilent(targets, nowMs);
    }
    publishTargets(nowMs);
    drain.report(nowMs);
    publishView(nowMs);
  }

  private void forget(long nowMs) {
    instances.forget(nowMs);
    List<TargetId> forgotten = targets.forget(nowMs);
    if (!forgotten.isEmpty()) {
      touchAll(forgotten);
      selectionDue = true;
    }
  }

  private void sendHeartbeat(long nowMs) {
    nextHeartbeatMs = nowMs + HEARTBEAT_MS;
    topology.expire(nowMs);
    sender.toAll(heartbeatMessage(nowMs));
  }

  private PeerMessage.Heartbeat heartbeatMessage(long nowMs) {
    heartbeatSequence++;
    return new PeerMessage.Heartbeat(
        self.incarnation(),
        heartbeatSequence,
        drain.state(),
        configuration,
        self.domain(),
        self.address(),
        nowMs,
        topology.contacts());
  }

  private void publishView(long nowMs) {
    InstanceRecord own =
        new InstanceRecord(
            self.id(),
            self.incarnation(),
            drain.state(),
            configuration,
            self.domain(),
            self.address());
    Optional<InstanceView> view = Optional.of(instances.view(own, nowMs));
    if (!view.equals(publishedView) && viewOutlet.offer(view.get())) {
      publishedView = view;
    }
  }

  @Override
  public long nextTickMs() {
    return nextTickMs;
  }

  /** Number of messages to other instances for which the transport had no room. */
  public long sendsRefused() {
    return sender.refused();
  }

  /** Number of targets that were refused because the table was full. */
  public long targetsRefused() {
    return targets.refused();
  }
}
