package dev.caroblb.agreement;

import dev.caroblb.agreement.journal.JournalEvent;
import dev.caroblb.core.GroupId;
import dev.caroblb.core.Outlet;
import dev.caroblb.core.Payload;
import dev.caroblb.core.PeerEnvelope;
import dev.caroblb.core.ProposalOutcome;
import java.util.List;

/** Input of the agreement duty. */
public sealed interface AgreementMessage {
  /**
   * Proposes a command to the state machine of a group; exactly one outcome is offered to the
   * reply.
   */
  record Propose(GroupId group, Payload command, Outlet<ProposalOutcome> reply)
      implements AgreementMessage {}

  /** A message from another replica. */
  record FromPeer(PeerEnvelope<PeerMessage> received) implements AgreementMessage {}

  /** A result from the journal duty. */
  record FromJournal(JournalEvent event) implements AgreementMessage {}

  /** Requests the status of all groups. */
  record QueryStatus(Outlet<List<GroupStatus>> reply) implements AgreementMessage {}
}
