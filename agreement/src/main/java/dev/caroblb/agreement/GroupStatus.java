package dev.caroblb.agreement;

import dev.caroblb.core.GroupId;
import dev.caroblb.core.InstanceId;
import java.util.List;
import java.util.Optional;

/**
 * Status of one group as seen by this replica.
 *
 * @param group the consensus group
 * @param role role of this replica
 * @param term current term
 * @param leader the leader of the term, if known
 * @param members newest member list in the log
 * @param lastIndex index of the last entry in the log
 * @param commitIndex index of the last entry known to be committed
 * @param snapshotIndex index of the last entry that the snapshot includes
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
