package dev.caroblb.daemon;

import dev.caroblb.agreement.AgreementHandler;
import dev.caroblb.agreement.AgreementMessage;
import dev.caroblb.agreement.AgreementOutlets;
import dev.caroblb.agreement.AgreementSettings;
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
import dev.caroblb.core.Addressed;
import dev.caroblb.core.Duty;
import dev.caroblb.core.GroupId;
import dev.caroblb.core.InstanceId;
import dev.caroblb.core.LeaderLease;
import dev.caroblb.core.MillisClock;
import dev.caroblb.core.Outlet;
import dev.caroblb.core.Payload;
import dev.caroblb.core.StateMachine;
import dev.caroblb.settings.InstanceSettings;
import dev.caroblb.settings.PeerSettings;
import dev.caroblb.transport.Channel;
import dev.caroblb.transport.PeerTransport;
import io.vavr.control.Either;
import java.io.IOException;
import java.nio.file.Path;
import java.security.SecureRandom;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;

/** The consensus groups and their data folder, on an instance that has one. */
final class ControlReplica implements AutoCloseable {
  private static final int RING_CAPACITY = 16_384;

  private final DataFolder folder;
  private final Duty<AgreementMessage> agreement;
  private final Duty<JournalMessage> journal;

  private ControlReplica(
      DataFolder folder, Duty<AgreementMessage> agreement, Duty<JournalMessage> journal) {
    this.folder = folder;
    this.agreement = agreement;
    this.journal = journal;
  }

  /** Opens the data folder and creates the duties; they run after {@link #start()}. */
  static ControlReplica open(
      InstanceSettings settings,
      Path dataFolder,
      Map<GroupId, StateMachine> machines,
      PeerTransport transport,
      Outlet<LeaderLease> leases,
      Outlet<ReplicaFault> faults,
      MillisClock clock)
      throws IOException {
    Either<JournalError, DataFolder> opened =
        DataFolder.open(dataFolder, settings.cluster(), List.copyOf(machines.keySet()));
    if (opened.isLeft()) {
      throw new IOException(opened.getLeft().message());
    }
    DataFolder folder = opened.get();
    LateOutlet<AgreementMessage> toAgreement = new LateOutlet<>();
    Duty<JournalMessage> journal =
        new Duty<>(
            "journal",
            RING_CAPACITY,
            new JournalHandler(
                folder, event -> toAgreement.offer(new AgreementMessage.FromJournal(event))),
            clock);
    PeerMessageCodec codec = new PeerMessageCodec();
    Outlet<Addressed<PeerMessage>> peers =
        message ->
            transport.send(message.peer(), Channel.AGREEMENT, codec.encode(message.message()));
    AgreementHandler handler =
        new AgreementHandler(
            new AgreementSettings(
                new Member(settings.instance(), folder.incarnation()), slots(settings)),
            machines,
            recover(folder, machines),
            new AgreementOutlets(peers, journal, leases, faults),
            new MemberListCodec(),
            new SecureRandom(),
            clock.nowMs());
    Duty<AgreementMessage> agreement = new Duty<>("agreement", RING_CAPACITY, handler, clock);
    toAgreement.bind(agreement);
    transport.receive(Channel.AGREEMENT, (from, body) -> receive(codec, agreement, from, body));
    return new ControlReplica(folder, agreement, journal);
  }

  private static void receive(
      PeerMessageCodec codec, Duty<AgreementMessage> agreement, InstanceId from, Payload body) {
    codec
        .decode(body)
        .ifPresent(
            message ->
                agreement.offer(new AgreementMessage.FromPeer(new Addressed<>(from, message))));
  }

  private static List<InstanceId> slots(InstanceSettings settings) {
    return settings.peers().stream()
        .filter(PeerSettings::replica)
        .map(PeerSettings::instance)
        .toList();
  }

  private static Map<GroupId, RecoveredGroup> recover(
      DataFolder folder, Map<GroupId, StateMachine> machines) {
    Map<GroupId, RecoveredGroup> recovered = new HashMap<>();
    for (GroupId group : machines.keySet()) {
      Optional<RecoveredGroup> stored = folder.takeRecovered(group);
      stored.ifPresent(found -> recovered.put(group, found));
    }
    return recovered;
  }

  Duty<AgreementMessage> agreement() {
    return agreement;
  }

  List<Duty<?>> duties() {
    return List.of(agreement, journal);
  }

  void start() {
    journal.start();
    agreement.start();
  }

  @Override
  public void close() {
    agreement.close();
    journal.close();
    folder.close();
  }
}
