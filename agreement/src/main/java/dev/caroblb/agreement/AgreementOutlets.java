package dev.caroblb.agreement;

import dev.caroblb.agreement.journal.JournalMessage;
import dev.caroblb.core.LeaderLease;
import dev.caroblb.core.Outlet;
import dev.caroblb.core.PeerEnvelope;

/** Outlets for the messages of the agreement duty. */
public record AgreementOutlets(
    Outlet<PeerEnvelope<PeerMessage>> peers,
    Outlet<JournalMessage> journal,
    Outlet<LeaderLease> leases,
    Outlet<ReplicaFault> faults) {}
