package dev.caroblb.agreement;

import dev.caroblb.core.GroupId;
import dev.caroblb.core.Payload;
import java.util.List;

/** Message between replicas. The incarnation is that of the sender's data folder. */
public sealed interface PeerMessage {
  GroupId group();

  String incarnation();

  /**
   * Asks for a vote.
   *
   * @param term term that the candidate wants to lead; with {@code preVote} it has not entered it
   * @param preVote whether this only asks if the vote would be granted
   */
  record VoteRequest(
      GroupId group, String incarnation, long term, boolean preVote, long lastIndex, long lastTerm)
      implements PeerMessage {}

  /** Answers a vote request; {@code term} is the term of the voter. */
  record VoteResponse(
      GroupId group,
      String incarnation,
      long term,
      long requestTerm,
      boolean preVote,
      boolean granted)
      implements PeerMessage {}

  /**
   * Entries of a leader, or a heartbeat when there are none.
   *
   * @param sentMs time on the clock of the leader, returned in the answer to extend its lease
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
   * Answer of a follower.
   *
   * @param matched whether the log contained the previous entry
   * @param index last synced entry that equals the leader's; if not matched, an index up to which
   *     the logs may be equal
   */
  record AppendResponse(
      GroupId group, String incarnation, long term, long sentMs, boolean matched, long index)
      implements PeerMessage {}

  /** Part of a snapshot for a follower whose next entry is no longer in the leader's log. */
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

  /** Number of bytes of a snapshot that a follower holds. */
  record SnapshotProgress(
      GroupId group, String incarnation, long term, long sentMs, long lastIndex, long receivedBytes)
      implements PeerMessage {}

  /** Asks a slot which incarnation runs there now. */
  record Probe(GroupId group, String incarnation, long nonce) implements PeerMessage {}

  /**
   * Answers a probe.
   *
   * @param nonce number of the probe, which proves that the report is younger than the probe
   * @param blank whether no entry of the group was ever stored in this data folder
   */
  record Report(GroupId group, String incarnation, long nonce, boolean blank)
      implements PeerMessage {}

  /** First members of a group, sent by the coordinator when all slots reported to be blank. */
  record Form(GroupId group, String incarnation, List<Member> members) implements PeerMessage {
    public Form {
      members = List.copyOf(members);
    }
  }
}
