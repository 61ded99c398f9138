package dev.caroblb.evacuation.codec;

import dev.caroblb.core.GroupId;
import dev.caroblb.core.Outlet;
import dev.caroblb.core.ProposalOutcome;
import dev.caroblb.core.Proposer;
import dev.caroblb.evacuation.CommandProposer;
import dev.caroblb.evacuation.EvacuationCommand;
import dev.caroblb.evacuation.OrderOutcome;

/** Encodes commands, proposes them to the control group and decodes their results. */
public final class GroupCommandProposer implements CommandProposer {
  private final Proposer proposer;
  private final CommandCodec commands = new CommandCodec();

  public GroupCommandProposer(Proposer proposer) {
    this.proposer = proposer;
  }

  @Override
  public boolean propose(EvacuationCommand command, Outlet<OrderOutcome> reply) {
    return proposer.propose(
        GroupId.CONTROL, commands.encode(command), outcome -> reply.offer(decode(outcome)));
  }

  private static OrderOutcome decode(ProposalOutcome outcome) {
    if (outcome instanceof ProposalOutcome.Applied applied) {
      return StateFormat.decode(applied.result())
          .<OrderOutcome>map(OrderOutcome.Accepted::new)
          .orElseGet(OrderOutcome.Unanswered::new);
    }
    if (outcome instanceof ProposalOutcome.NotLeader notLeader) {
      return notLeader
          .leader()
          .<OrderOutcome>map(OrderOutcome.AskLeader::new)
          .orElseGet(OrderOutcome.Unanswered::new);
    }
    return new OrderOutcome.Unanswered();
  }
}
