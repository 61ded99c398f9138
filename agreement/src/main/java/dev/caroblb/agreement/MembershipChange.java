package dev.caroblb.agreement;

import dev.caroblb.core.InstanceId;
import java.util.ArrayList;
import java.util.Collection;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Optional;
import java.util.Set;

/**
 * Leader side of the replacement of lost incarnations, one change at a time: removes a lost member
 * through the log, lets the new incarnation of its slot catch up as a learner, then adds it.
 */
final class MembershipChange {
  private final AgreementSettings settings;
  private final ReplicatedLog log;
  private final SlotReports reports;
  private Optional<Member> learner = Optional.empty();

  MembershipChange(AgreementSettings settings, ReplicatedLog log, SlotReports reports) {
    this.settings = settings;
    this.log = log;
    this.reports = reports;
  }

  /** Forgets the learner at the start of a term. */
  void start() {
    learner = Optional.empty();
  }

  /** Members and the learner, to all of which the leader replicates. */
  Collection<Member> targets(long commitIndex) {
    Set<Member> targets = new LinkedHashSet<>(log.members().newest());
    if (log.members().newestIndex() > commitIndex) {
      targets.addAll(log.members().at(log.members().newestIndex() - 1));
    }
    learner.ifPresent(targets::add);
    return targets;
  }

  /** Chooses or drops the learner according to the reports. */
  void chooseLearner(Replication replication, long nowMs) {
    if (learner.isPresent() && isMember(learner.get().instance())) {
      learner = Optional.empty();
    }
    dropSilentLearner(replication, nowMs);
    for (InstanceId slot : settings.slots()) {
      Optional<Member> reported = reports.reported(slot);
      if (reported.isEmpty() || isMember(slot)) {
        continue;
      }
      if (learner.isEmpty() || learner.get().instance().equals(slot)) {
        learner = reported;
      }
    }
  }

  /**
   * The next member list to propose, if a change is due. The caller has committed an entry of its
   * own term, without which an earlier change might still be in flight.
   */
  Optional<List<Member>> next(long commitIndex, Replication replication, long nowMs) {
    List<Member> members = log.members().newest();
    if (log.members().newestIndex() > commitIndex) {
      return Optional.empty();
    }
    Set<Member> lost = reports.lost(members);
    for (Member member : members) {
      if (lost.contains(member) && members.size() > 1) {
        return Optional.of(without(members, member));
      }
    }
    Optional<Member> silent = silent(members, replication, nowMs);
    if (learner.isPresent() && caughtUp(learner.get(), commitIndex, replication, nowMs)) {
      List<Member> changed = new ArrayList<>(members);
      silent.filter(member -> members.size() >= settings.baseline()).ifPresent(changed::remove);
      changed.add(learner.get());
      return Optional.of(changed);
    }
    boolean spare = members.size() > settings.baseline() && members.size() % 2 == 0;
    return spare ? silent.map(member -> without(members, member)) : Optional.empty();
  }

  /**
   * A member that has long been silent. It makes place for a new replica, and a number of members
   * that is even without it bears the loss of no more than one less. Should it come back, it is
   * added again.
   */
  private Optional<Member> silent(List<Member> members, Replication replication, long nowMs) {
    for (Member member : members) {
      Optional<Progress> progress = replication.progress(member);
      boolean other = !member.equals(settings.self());
      if (other
          && progress.isPresent()
          && !progress.get().heardSince(nowMs - Timing.MEMBER_SILENCE_MS)) {
        return Optional.of(member);
      }
    }
    return Optional.empty();
  }

  private static boolean caughtUp(
      Member member, long commitIndex, Replication replication, long nowMs) {
    Optional<Progress> progress = replication.progress(member);
    return progress.isPresent()
        && progress.get().matchIndex() >= commitIndex
        && progress.get().heardSince(nowMs - Timing.SILENCE_MS);
  }

  /** A learner that died must not keep the leader from adding another one. */
  private void dropSilentLearner(Replication replication, long nowMs) {
    if (learner.isEmpty()) {
      return;
    }
    Optional<Progress> progress = replication.progress(learner.get());
    if (progress.isPresent() && !progress.get().heardSince(nowMs - Timing.LEARNER_SILENCE_MS)) {
      reports.forget(learner.get().instance());
      learner = Optional.empty();
    }
  }

  private boolean isMember(InstanceId slot) {
    for (Member member : log.members().newest()) {
      if (member.instance().equals(slot)) {
        return true;
      }
    }
    return false;
  }

  private static List<Member> without(List<Member> members, Member removed) {
    List<Member> rest = new ArrayList<>(members);
    rest.remove(removed);
    return rest;
  }
}
