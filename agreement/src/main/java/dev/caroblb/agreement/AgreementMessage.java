package dev.caroblb.agreement;

import dev.caroblb.agreement.journal.JournalEvent;
import dev.caroblb.core.Addressed;
import dev.caroblb.core.GroupId;
import dev.caroblb.core.Outlet;
import dev.caroblb.core.Payload;
import dev.caroblb.core.ProposalOutcome;
import java.util.List;

/** Input of the agreement duty. */
public sealed interface AgreementMessage {
  /** A command for the state machine of a group; the outcome is offered to the reply once. */
  record Propose(GroupId group, Payload command, Outlet<ProposalOutcome> reply)
      implements AgreementMessage {}

  /** A message that another replica sent. */
  record FromPeer(Addressed<PeerMessage> received) implements AgreementMessage {}

  /** An answer of the journal duty. */
  record FromJournal(JournalEvent event) implements AgreementMessage {}

  /** Asks for the state of all groups. */
  record QueryStatus(Outlet<List<GroupStatus>> reply) implements AgreementMessage {}
}
