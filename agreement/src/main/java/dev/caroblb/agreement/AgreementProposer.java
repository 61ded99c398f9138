package dev.caroblb.agreement;

import dev.caroblb.core.GroupId;
import dev.caroblb.core.Outlet;
import dev.caroblb.core.Payload;
import dev.caroblb.core.ProposalOutcome;
import dev.caroblb.core.Proposer;

/** Forwards proposals of other duties to the ring of the agreement duty. */
public final class AgreementProposer implements Proposer {
  private final Outlet<AgreementMessage> agreement;

  public AgreementProposer(Outlet<AgreementMessage> agreement) {
    this.agreement = agreement;
  }

  @Override
  public boolean propose(GroupId group, Payload command, Outlet<ProposalOutcome> reply) {
    return agreement.offer(new AgreementMessage.Propose(group, command, reply));
  }
}
