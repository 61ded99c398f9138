package dev.caroblb.core;

import java.util.Optional;

/** Result of proposing a command to a consensus group. */
public sealed interface ProposalOutcome {
  /** The command was committed by a majority and applied. */
  record Applied(Payload result) implements ProposalOutcome {}

  /** This instance does not lead the group; the command was not appended. */
  record NotLeader(Optional<InstanceId> leader) implements ProposalOutcome {}

  /** Leadership ended before the command was committed; it may still be committed later. */
  record Unknown() implements ProposalOutcome {}
}
