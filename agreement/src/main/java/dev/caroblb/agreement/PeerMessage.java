package dev.caroblb.agreement;

import dev.caroblb.core.GroupId;
import dev.caroblb.core.Payload;
import java.util.List;

/** Message between replicas; {@code incarnation} is that of the sender's data folder. */
public sealed interface PeerMessage {
  GroupId group();

  String incarnation();

  /**
   * Requests a vote.
   *
   * @param term term that the candidate wants to lead; not entered yet if {@code preVote} is set
   * @param preVote whether the request only asks if a vote would be granted
   */
  record VoteRequest(
      GroupId group, String incarnation, long term, boolean preVote, long lastIndex, long lastTerm)
      implements PeerMessage {}

  /** Response to a vote request; {@code term} is the term of the voter. */
  record VoteResponse(
      GroupId group,
      String incarnation,
      long term,
      long requestTerm,
      boolean preVote,
      boolean granted)
      implements PeerMessage {}

  /**
   * Entries from a leader, or a heartbeat if there are none.
   *
   * @param sentMs send time on the leader's clock, returned in the response to extend its lease
   */
  record AppendRequest(
      GroupId group,
      String incarnation,
      long term,
      long sentMs,
      long previousIndex,
      long previousTerm,
      long commitIndex,
      List<LogEntry> entries)
      implements PeerMessage {
    public AppendRequest {
      entries = List.copyOf(entries);
    }
  }

  /**
   * Response of a follower.
   *
   * @param matched whether the log contained the previous entry
   * @param index if matched, index of the last synced entry that equals the leader's; otherwise an
   *     index up to which the logs may be equal
   */
  record AppendResponse(
      GroupId group, String incarnation, long term, long sentMs, boolean matched, long index)
      implements PeerMessage {}

  /** Part of a snapshot, for a follower whose next entry is no longer in the leader's log. */
  record SnapshotChunk(
      GroupId group,
      String incarnation,
      long term,
      long sentMs,
      long lastIndex,
      long lastTerm,
      List<Member> members,
      long totalBytes,
      long offset,
      Payload bytes)
      implements PeerMessage {
    public SnapshotChunk {
      members = List.copyOf(members);
    }
  }

  /** Number of snapshot bytes that a follower has received. */
  record SnapshotProgress(
      GroupId group, String incarnation, long term, long sentMs, long lastIndex, long receivedBytes)
      implements PeerMessage {}

  /** Asks a slot for its current incarnation. */
  record Probe(GroupId group, String incarnation, long nonce) implements PeerMessage {}

  /**
   * Response to a probe.
   *
   * @param nonce nonce of the probe, which proves that the report was sent after the probe
   * @param blank whether no entry of the group was ever stored in this data folder
   * @param members members known to the sender, which lead a new replica to the leader
   */
  record Report(GroupId group, String incarnation, long nonce, boolean blank, List<Member> members)
      implements PeerMessage {
    public Report {
      members = List.copyOf(members);
    }
  }

  /**
   * Initial members of a group, sent by the coordinator when all slots have reported that they are
   * blank.
   */
  record InitialMembers(GroupId group, String incarnation, List<Member> members)
      implements PeerMessage {
    public InitialMembers {
      members = List.copyOf(members);
    }
  }
}
