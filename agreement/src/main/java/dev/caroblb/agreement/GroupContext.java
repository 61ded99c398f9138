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

/** Settings and dependencies of one group. */
record GroupContext(
    GroupId group,
    AgreementSettings settings,
    StateMachine machine,
    MessageCodec<List<Member>> memberCodec,
    RandomGenerator random,
    PeerSender peers,
    Outlet<JournalMessage> journal,
    Outlet<LeaderLease> leases,
    RetryQueue<ProposalOutcome> replies) {
  Member self() {
    return settings.self();
  }
}
