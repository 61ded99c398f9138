package dev.caroblb.agreement;

import dev.caroblb.core.GroupId;
import dev.caroblb.core.InstanceId;
import java.util.List;
import java.util.Optional;

/**
 * State of one group as this replica sees it.
 *
 * @param group the consensus group
 * @param role role of this replica
 * @param term current term
 * @param leader the leader of the term, if known
 * @param members newest list of members in the log
 * @param lastIndex last entry of the log
 * @param commitIndex last entry known to be committed
 * @param snapshotIndex last entry that the snapshot contains
 */
public record GroupStatus(
    GroupId group,
    Role role,
    long term,
    Optional<InstanceId> leader,
    List<Member> members,
    long lastIndex,
    long commitIndex,
    long snapshotIndex) {
  public GroupStatus {
    members = List.copyOf(members);
  }
}
