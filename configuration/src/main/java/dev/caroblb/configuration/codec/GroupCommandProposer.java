package dev.caroblb.configuration.codec;

import dev.caroblb.configuration.CommandOutcome;
import dev.caroblb.configuration.CommandProposer;
import dev.caroblb.configuration.CommandResult;
import dev.caroblb.configuration.ConfigurationCommand;
import dev.caroblb.core.GroupId;
import dev.caroblb.core.Outlet;
import dev.caroblb.core.ProposalOutcome;
import dev.caroblb.core.Proposer;

/** Encodes commands and proposes them to the control group. */
public final class GroupCommandProposer implements CommandProposer {
  private final Proposer proposer;
  private final CommandCodec commands = new CommandCodec();
  private final ResultCodec results = new ResultCodec();

  public GroupCommandProposer(Proposer proposer) {
    this.proposer = proposer;
  }

  @Override
  public boolean propose(ConfigurationCommand command, Outlet<CommandOutcome> reply) {
    return proposer.propose(
        GroupId.CONTROL, commands.encode(command), outcome -> reply.offer(decoded(outcome)));
  }

  private CommandOutcome decoded(ProposalOutcome outcome) {
    if (outcome instanceof ProposalOutcome.Applied applied) {
      return new CommandOutcome.Applied(
          results.decode(applied.result()).orElseGet(CommandResult.Unreadable::new));
    }
    if (outcome instanceof ProposalOutcome.NotLeader notLeader) {
      return new CommandOutcome.NotLeader(notLeader.leader());
    }
    return new CommandOutcome.Unknown();
  }
}
