package dev.caroblb.agreement;

import dev.caroblb.agreement.journal.JournalMessage;
import dev.caroblb.core.GroupId;
import dev.caroblb.core.LeaderLease;
import dev.caroblb.core.MessageCodec;
import dev.caroblb.core.Outlet;
import dev.caroblb.core.ProposalOutcome;
import dev.caroblb.core.StateMachine;
import java.util.List;
import java.util.random.RandomGenerator;

/** What one group works with. */
record GroupContext(
    GroupId group,
    AgreementSettings settings,
    StateMachine machine,
    MessageCodec<List<Member>> memberCodec,
    RandomGenerator random,
    PeerLink peers,
    Outlet<JournalMessage> journal,
    Outlet<LeaderLease> leases,
    Backlog<ProposalOutcome> replies) {
  Member self() {
    return settings.self();
  }
}
