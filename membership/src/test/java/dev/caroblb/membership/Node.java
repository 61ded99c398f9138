package dev.caroblb.membership;

import dev.caroblb.core.FailureDomain;
import dev.caroblb.core.InstanceId;
import dev.caroblb.core.PeerEnvelope;
import dev.caroblb.core.TargetId;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;

/** Simulated instance: a handler with its own clock, and the messages that it emitted. */
final class Node {
  final InstanceId id;
  final Deque<PeerEnvelope<PeerMessage>> sent = new ArrayDeque<>();
  final List<TargetChange> changes = new ArrayList<>();
  final List<DrainStage> stages = new ArrayList<>();

  /** Incarnation of each target to which placement would send work. */
  final Map<TargetId, Long> available = new HashMap<>();

  InstanceView view = new InstanceView(List.of(), List.of());
  boolean outletsFull;
  long drainLimitMs;

  private final MembershipHandler handler;
  private final long clockOffsetMs;
  private final double clockRate;

  Node(String name, Set<InstanceId> peers, long clockOffsetMs, double clockRate) {
    this.id = new InstanceId(name);
    this.clockOffsetMs = clockOffsetMs;
    this.clockRate = clockRate;
    this.handler =
        new MembershipHandler(
            new LocalInstance(id, 1, new FailureDomain("d1"), name + ":80"),
            new FixedTopology(peers),
            60_000,
            new AllTargets(),
            new MembershipOutlets(sent::add, this::change, this::showView, this::drainProgress));
  }

  private boolean change(TargetChange change) {
    if (outletsFull) {
      return false;
    }
    changes.add(change);
    if (change instanceof TargetChange.Available a) {
      available.put(change.target(), a.latest().announcement().incarnation());
    } else if (change instanceof TargetChange.Restarted r) {
      available.put(change.target(), r.latest().announcement().incarnation());
    } else if (change instanceof TargetChange.Reported r) {
      available.put(change.target(), r.latest().announcement().incarnation());
    } else {
      available.remove(change.target());
    }
    return true;
  }

  private boolean showView(InstanceView latest) {
    view = latest;
    return true;
  }

  private boolean drainProgress(DrainProgress progress) {
    if (outletsFull) {
      return false;
    }
    drainLimitMs = progress.limitAtMs();
    return stages.add(progress.stage());
  }

  private long localTimeMs(long realMs) {
    return clockOffsetMs + (long) (realMs * clockRate);
  }

  void handle(MembershipMessage message, long realMs) {
    handler.handle(message, localTimeMs(realMs));
  }

  void receive(InstanceId peer, PeerMessage message, long realMs) {
    handle(new MembershipMessage.FromPeer(new PeerEnvelope<>(peer, message)), realMs);
  }

  void announce(Announcement announcement, long realMs) {
    handle(new MembershipMessage.Announced(announcement), realMs);
  }

  void admitUntil(long untilRealMs, long realMs) {
    handle(new MembershipMessage.AdmitsUntil(localTimeMs(untilRealMs)), realMs);
  }

  void tickIfDue(long realMs) {
    if (handler.nextTickMs() <= localTimeMs(realMs)) {
      handler.tick(localTimeMs(realMs));
    }
  }
}
