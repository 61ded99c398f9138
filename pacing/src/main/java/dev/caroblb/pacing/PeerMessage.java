package dev.caroblb.pacing;

import java.util.List;

/** Messages between instances about the request limits of targets. */
public sealed interface PeerMessage {
  /**
   * Request limits that targets named in responses to the sender, for control instances.
   *
   * @param statements new statements of targets
   * @param wantsAll whether the sender asks for all limits that the receiver knows
   */
  record LimitReport(List<LimitStatement> statements, boolean wantsAll) implements PeerMessage {
    public LimitReport {
      statements = List.copyOf(statements);
    }
  }

  /** Request limits that the sender has learned from all instances. */
  record LimitAnnouncement(List<LimitStatement> statements) implements PeerMessage {
    public LimitAnnouncement {
      statements = List.copyOf(statements);
    }
  }
}
