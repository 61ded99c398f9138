package dev.caroblb.routing.codec;

import dev.caroblb.core.GroupId;
import dev.caroblb.core.Outlet;
import dev.caroblb.core.ProposalOutcome;
import dev.caroblb.core.Proposer;
import dev.caroblb.routing.CommandProposer;
import dev.caroblb.routing.RoutingCommand;

/** Encodes commands and proposes them to the control group. */
public final class GroupCommandProposer implements CommandProposer {
  private final Proposer proposer;
  private final CommandCodec commands = new CommandCodec();

  public GroupCommandProposer(Proposer proposer) {
    this.proposer = proposer;
  }

  @Override
  public boolean propose(RoutingCommand command, Outlet<ProposalOutcome> reply) {
    return proposer.propose(GroupId.CONTROL, commands.encode(command), reply);
  }
}
