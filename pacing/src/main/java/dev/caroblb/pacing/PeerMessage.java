package dev.caroblb.pacing;

import java.util.List;

/** Messages between instances about the rates at which targets may get requests. */
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

  /**
   * What an entry observed of paced targets, for control instances.
   *
   * @param warmUps targets that said in responses that they are cold
   * @param outcomes what happened to the requests that the sender sent
   * @param paces learned rates that the sender knows from another control instance
   */
  record PaceReport(
      List<WarmUpStatement> warmUps, List<RunOutcomes> outcomes, List<LimitStatement> paces)
      implements PeerMessage {
    public PaceReport {
      warmUps = List.copyOf(warmUps);
      outcomes = List.copyOf(outcomes);
      paces = List.copyOf(paces);
    }
  }

  /**
   * What a control instance knows of paced targets.
   *
   * @param warmUps targets that have become cold
   * @param paces learned rates of all targets that have one
   */
  record PaceAnnouncement(List<WarmUpStatement> warmUps, List<LimitStatement> paces)
      implements PeerMessage {
    public PaceAnnouncement {
      warmUps = List.copyOf(warmUps);
      paces = List.copyOf(paces);
    }
  }
}
