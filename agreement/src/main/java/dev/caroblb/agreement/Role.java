package dev.caroblb.agreement;

/** Role of this replica in a group. */
public enum Role {
  /** Follows a leader, or waits for one. */
  FOLLOWER,
  /** Asks the members for their votes. */
  CANDIDATE,
  /** Leads the group. */
  LEADER
}
