package dev.caroblb.agreement;

/** Role of this replica in a group. */
public enum Role {
  /** Follows a leader, or waits for one. */
  FOLLOWER,
  /** Requests votes from the members. */
  CANDIDATE,
  /** Leads the group. */
  LEADER
}
