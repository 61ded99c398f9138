package dev.caroblb.agreement;

import dev.caroblb.core.GroupId;
import dev.caroblb.core.InstanceId;
import dev.caroblb.core.LogLine;
import java.util.List;
import java.util.Optional;
import java.util.stream.Collectors;

/** Logs the leader and the members that a replica knows whenever one of them changes. */
final class GroupStateLogger {
  private static final System.Logger LOGGER = System.getLogger(GroupStateLogger.class.getName());

  /** Digits of an incarnation that are logged; enough to tell those of one slot apart. */
  private static final int INCARNATION_DIGITS = 6;

  private final GroupId group;
  private Optional<InstanceId> leader = Optional.empty();
  private List<Member> members = List.of();

  GroupStateLogger(GroupId group) {
    this.group = group;
  }

  void update(Optional<InstanceId> currentLeader, List<Member> newestMembers, long term) {
    if (!currentLeader.equals(leader)) {
      leader = currentLeader;
      log("agreement.leader", "leader", leader.map(InstanceId::name).orElse("none"), term);
    }
    if (!newestMembers.equals(members)) {
      members = newestMembers;
      log("agreement.members", "members", format(members), term);
    }
  }

  private static String format(List<Member> members) {
    return members.stream().map(GroupStateLogger::format).collect(Collectors.joining("+"));
  }

  private static String format(Member member) {
    String incarnation = member.incarnation();
    return member.instance()
        + "/"
        + incarnation.substring(0, Math.min(INCARNATION_DIGITS, incarnation.length()));
  }

  private void log(String event, String key, String value, long term) {
    LOGGER.log(
        System.Logger.Level.INFO,
        LogLine.of(event).with("group", group).with(key, value).with("term", term).toString());
  }
}
