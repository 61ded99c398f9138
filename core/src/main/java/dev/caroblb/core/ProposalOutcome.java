package dev.caroblb.core;

import java.util.Optional;

/** What became of a command that was proposed to a consensus group. */
public sealed interface ProposalOutcome {
  /** The command is committed on a majority and was applied. */
  record Applied(Payload result) implements ProposalOutcome {}

  /** This instance does not lead the group; the command was not appended. */
  record NotLeader(Optional<InstanceId> leader) implements ProposalOutcome {}

  /** Leadership ended before the command was committed; it may still become committed. */
  record Unknown() implements ProposalOutcome {}
}
