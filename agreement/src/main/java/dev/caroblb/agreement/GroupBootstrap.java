package dev.caroblb.agreement;

import dev.caroblb.core.InstanceId;
import dev.caroblb.core.Payload;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;

/**
 * Creates the initial member list of a group. The coordinator proposes it once every slot has
 * reported, in response to a probe, that it stores no entry. The list may be proposed again until
 * the first entry is stored; this is safe because {@link Quorum#unanimous()} applies until then.
 */
final class GroupBootstrap {
  private final GroupContext context;
  private final ReplicatedLog log;
  private final GroupJournal journal;
  private final SlotReports reports;

  GroupBootstrap(
      GroupContext context, ReplicatedLog log, GroupJournal journal, SlotReports reports) {
    this.context = context;
    this.log = log;
    this.journal = journal;
    this.reports = reports;
  }

  /**
   * Bootstraps the group if this is the coordinator and all slots are blank. Returns whether the
   * member list changed.
   */
  boolean tryBootstrap() {
    AgreementSettings settings = context.settings();
    if (!log.isBlank() || !settings.isCoordinator()) {
      return false;
    }
    if (!reports.allBlank(settings.otherInitialReplicas())) {
      return false;
    }
    List<Member> members = reportedMembers();
    PeerMessage initialMembers =
        new PeerMessage.InitialMembers(context.group(), context.self().incarnation(), members);
    for (InstanceId slot : settings.otherInitialReplicas()) {
      context.peers().send(slot, initialMembers);
    }
    return adopt(members);
  }

  /** Adopts the members that the coordinator proposes. Returns whether the member list changed. */
  boolean receive(InstanceId peer, PeerMessage.InitialMembers initialMembers) {
    AgreementSettings settings = context.settings();
    if (!log.isBlank() || settings.coordinator().filter(peer::equals).isEmpty()) {
      return false;
    }
    if (!initialMembers.members().contains(context.self())) {
      return false;
    }
    return adopt(initialMembers.members());
  }

  private boolean adopt(List<Member> members) {
    if (log.members().newest().equals(members)) {
      return false;
    }
    Snapshot initial = new Snapshot(0, 0, members, Payload.empty());
    log.reset(initial);
    journal.saveSnapshot(initial, false);
    return true;
  }

  private List<Member> reportedMembers() {
    List<Member> members = new ArrayList<>();
    for (InstanceId slot : context.settings().initialReplicas()) {
      if (slot.equals(context.self().instance())) {
        members.add(context.self());
        continue;
      }
      Optional<Member> reported = reports.reported(slot);
      members.add(reported.orElseThrow());
    }
    return members;
  }
}
