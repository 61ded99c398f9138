package dev.caroblb.daemon;

import dev.caroblb.agreement.AgreementHandler;
import dev.caroblb.agreement.AgreementMessage;
import dev.caroblb.agreement.AgreementOutlets;
import dev.caroblb.agreement.Member;
import dev.caroblb.agreement.PeerMessage;
import dev.caroblb.agreement.RecoveredGroup;
import dev.caroblb.agreement.ReplicaFault;
import dev.caroblb.agreement.codec.MemberListCodec;
import dev.caroblb.agreement.codec.PeerMessageCodec;
import dev.caroblb.agreement.journal.DataFolder;
import dev.caroblb.agreement.journal.JournalError;
import dev.caroblb.agreement.journal.JournalHandler;
import dev.caroblb.agreement.journal.JournalMessage;
import dev.caroblb.core.Duty;
import dev.caroblb.core.GroupId;
import dev.caroblb.core.LeaderLease;
import dev.caroblb.core.Outlet;
import dev.caroblb.core.StateMachine;
import dev.caroblb.transport.Channel;
import dev.caroblb.transport.PeerTransport;
import io.vavr.control.Either;
import java.io.IOException;
import java.security.SecureRandom;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;

/** Replica of the consensus groups on this instance, with the data folder that stores them. */
final class ControlReplica implements AutoCloseable {
  private final DataFolder folder;
  private final Duty<AgreementMessage> agreement;

  private ControlReplica(DataFolder folder, Duty<AgreementMessage> agreement) {
    this.folder = folder;
    this.agreement = agreement;
  }

  /** Opens the data folder, recovers the groups and creates the journal and agreement duties. */
  static ControlReplica open(
      ReplicaSettings replicaSettings,
      Map<GroupId, StateMachine> stateMachines,
      DutyRegistry duties,
      PeerTransport transport,
      Outlet<LeaderLease> leases,
      Outlet<ReplicaFault> faults)
      throws IOException {
    Either<JournalError, DataFolder> opened =
        DataFolder.open(
            replicaSettings.folder(),
            replicaSettings.cluster(),
            List.copyOf(stateMachines.keySet()));
    if (opened.isLeft()) {
      throw new IOException(opened.getLeft().message());
    }
    DataFolder folder = opened.get();
    LateBoundOutlet<AgreementMessage> toAgreement = new LateBoundOutlet<>();
    Duty<JournalMessage> journal =
        duties.create(
            "journal",
            new JournalHandler(
                folder, event -> toAgreement.offer(new AgreementMessage.FromJournal(event))));
    PeerChannel<PeerMessage> peers =
        new PeerChannel<>(transport, Channel.AGREEMENT, new PeerMessageCodec());
    AgreementHandler handler =
        new AgreementHandler(
            replicaSettings.agreementSettings(
                new Member(replicaSettings.instance(), folder.incarnation())),
            stateMachines,
            recover(folder, stateMachines),
            new AgreementOutlets(peers, journal, leases, faults),
            new MemberListCodec(),
            new SecureRandom(),
            duties.clock().nowMs());
    Duty<AgreementMessage> agreement = duties.create("agreement", handler);
    toAgreement.bind(agreement);
    peers.setReceiver(message -> agreement.offer(new AgreementMessage.FromPeer(message)));
    return new ControlReplica(folder, agreement);
  }

  private static Map<GroupId, RecoveredGroup> recover(
      DataFolder folder, Map<GroupId, StateMachine> stateMachines) {
    Map<GroupId, RecoveredGroup> recovered = new HashMap<>();
    for (GroupId group : stateMachines.keySet()) {
      Optional<RecoveredGroup> stored = folder.takeRecovered(group);
      stored.ifPresent(found -> recovered.put(group, found));
    }
    return recovered;
  }

  Duty<AgreementMessage> agreement() {
    return agreement;
  }

  /** Closes and unlocks the data folder; the duties must have been stopped before. */
  @Override
  public void close() {
    folder.close();
  }
}
