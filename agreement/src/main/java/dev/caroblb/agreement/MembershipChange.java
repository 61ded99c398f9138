package dev.caroblb.agreement;

import dev.caroblb.core.InstanceId;
import dev.caroblb.core.LogLine;
import java.util.ArrayList;
import java.util.Collection;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Optional;
import java.util.Set;

/**
 * Leader side of replacing members, one change at a time: removes a lost member through the log,
 * lets the new incarnation at its slot catch up as a learner, then adds it. Also replaces members
 * that are unresponsive for long, or removes them.
 */
final class MembershipChange {
  private static final System.Logger LOGGER = System.getLogger(MembershipChange.class.getName());

  private final AgreementSettings settings;
  private final ReplicatedLog log;
  private final SlotReports reports;
  private Optional<Member> learner = Optional.empty();

  MembershipChange(AgreementSettings settings, ReplicatedLog log, SlotReports reports) {
    this.settings = settings;
    this.log = log;
    this.reports = reports;
  }

  /** Discards the learner at the start of a term. */
  void start() {
    learner = Optional.empty();
  }

  /**
   * Replicas to which the leader replicates: the members, those of the previous list until the
   * newest is committed, and the learner.
   */
  Collection<Member> recipients(long commitIndex) {
    Set<Member> recipients = new LinkedHashSet<>(log.members().newest());
    if (log.members().newestIndex() > commitIndex) {
      recipients.addAll(log.members().at(log.members().newestIndex() - 1));
    }
    learner.ifPresent(recipients::add);
    return recipients;
  }

  /** Selects or drops the learner according to the slot reports. */
  void chooseLearner(Replication replication, long nowMs) {
    if (learner.isPresent() && isMember(learner.get().instance())) {
      learner = Optional.empty();
    }
    dropUnresponsiveLearner(replication, nowMs);
    for (InstanceId slot : settings.slots()) {
      Optional<Member> reported = reports.reported(slot);
      if (reported.isEmpty() || isMember(slot)) {
        continue;
      }
      if (learner.isEmpty() || learner.get().instance().equals(slot)) {
        logLearner(reported.get());
        learner = reported;
      }
    }
  }

  private void logLearner(Member chosen) {
    if (learner.filter(chosen::equals).isEmpty()) {
      LOGGER.log(
          System.Logger.Level.INFO,
          LogLine.of("agreement.learner").with("instance", chosen.instance()).toString());
    }
  }

  /**
   * Returns the next member list to propose, if a change is due. The caller must have committed an
   * entry of its own term; otherwise an earlier change might still be in progress.
   */
  Optional<List<Member>> nextMembers(long commitIndex, Replication replication, long nowMs) {
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
    Optional<Member> unresponsive = unresponsiveMember(members, replication, nowMs);
    if (learner.isPresent() && caughtUp(learner.get(), commitIndex, replication, nowMs)) {
      List<Member> changed = new ArrayList<>(members);
      unresponsive
          .filter(member -> members.size() >= settings.minMembers())
          .ifPresent(changed::remove);
      changed.add(learner.get());
      return Optional.of(changed);
    }
    boolean hasExtraMember = members.size() > settings.minMembers();
    return hasExtraMember ? unresponsive.map(member -> without(members, member)) : Optional.empty();
  }

  /**
   * Returns a member that has not responded for a long time. It is removed when a new replica can
   * take its place, or when the number of members is above the minimum: machines that are gone for
   * good would otherwise raise the majority that the running ones have to reach. If it responds
   * again, it is added again.
   */
  private Optional<Member> unresponsiveMember(
      List<Member> members, Replication replication, long nowMs) {
    for (Member member : members) {
      Optional<Progress> progress = replication.progress(member);
      boolean other = !member.equals(settings.self());
      if (other
          && progress.isPresent()
          && !progress.get().respondedSince(nowMs - ConsensusConstants.MEMBER_TIMEOUT_MS)) {
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
        && progress.get().respondedSince(nowMs - ConsensusConstants.RESPONSE_TIMEOUT_MS);
  }

  /** Drops an unresponsive learner, so that another one can be added. */
  private void dropUnresponsiveLearner(Replication replication, long nowMs) {
    if (learner.isEmpty()) {
      return;
    }
    Optional<Progress> progress = replication.progress(learner.get());
    if (progress.isPresent()
        && !progress.get().respondedSince(nowMs - ConsensusConstants.LEARNER_TIMEOUT_MS)) {
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
