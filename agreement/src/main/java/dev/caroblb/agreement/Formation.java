package dev.caroblb.agreement;

import dev.caroblb.core.InstanceId;
import dev.caroblb.core.Payload;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;

/**
 * First forming of a group. The coordinator proposes the members once every slot reported in answer
 * to its probe that it holds no entry. Members may be formed anew until the first entry is stored,
 * which {@link Quorum#unanimous()} makes safe.
 */
final class Formation {
  private final GroupContext context;
  private final ReplicatedLog log;
  private final GroupJournal journal;
  private final SlotReports reports;

  Formation(GroupContext context, ReplicatedLog log, GroupJournal journal, SlotReports reports) {
    this.context = context;
    this.log = log;
    this.journal = journal;
    this.reports = reports;
  }

  /** Forms the group if this is the coordinator and all slots are blank. */
  boolean tryForm() {
    AgreementSettings settings = context.settings();
    if (!log.isBlank() || !settings.coordinates()) {
      return false;
    }
    if (!reports.allBlank(settings.otherFounders())) {
      return false;
    }
    List<Member> members = reportedMembers();
    PeerMessage form = new PeerMessage.Form(context.group(), context.self().incarnation(), members);
    for (InstanceId slot : settings.otherFounders()) {
      context.peers().send(slot, form);
    }
    return adopt(members);
  }

  /** Takes over the members that the coordinator proposes; false if they change nothing here. */
  boolean receive(InstanceId peer, PeerMessage.Form form) {
    AgreementSettings settings = context.settings();
    if (!log.isBlank() || settings.coordinator().filter(peer::equals).isEmpty()) {
      return false;
    }
    if (!form.members().contains(context.self())) {
      return false;
    }
    return adopt(form.members());
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
    for (InstanceId slot : context.settings().founders()) {
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
