package dev.caroblb.daemon;

import dev.caroblb.agreement.AgreementProposer;
import dev.caroblb.agreement.ReplicaFault;
import dev.caroblb.configuration.ConfigurationCounters;
import dev.caroblb.configuration.ConfigurationHandler;
import dev.caroblb.configuration.ConfigurationMessage;
import dev.caroblb.configuration.ConfigurationOutlets;
import dev.caroblb.configuration.PeerMessage;
import dev.caroblb.configuration.codec.ConfigurationStateMachine;
import dev.caroblb.configuration.codec.GroupCommandProposer;
import dev.caroblb.configuration.codec.PeerMessageCodec;
import dev.caroblb.core.Duty;
import dev.caroblb.core.GroupId;
import dev.caroblb.core.InstanceId;
import dev.caroblb.core.LeaderLease;
import dev.caroblb.core.Outlet;
import dev.caroblb.core.ProposalOutcome;
import dev.caroblb.core.Proposer;
import dev.caroblb.core.StateMachine;
import dev.caroblb.evacuation.EvacuationState;
import dev.caroblb.idempotency.IdempotencyHandler;
import dev.caroblb.idempotency.IdempotencyMessage;
import dev.caroblb.idempotency.IdempotencyOutlets;
import dev.caroblb.idempotency.KeyDecision;
import dev.caroblb.idempotency.KeyGroups;
import dev.caroblb.idempotency.KeyInstance;
import dev.caroblb.idempotency.KeyLimits;
import dev.caroblb.idempotency.KeyMessage;
import dev.caroblb.idempotency.codec.KeyCommandFormat;
import dev.caroblb.idempotency.codec.KeyMessageCodec;
import dev.caroblb.idempotency.codec.KeyStateMachine;
import dev.caroblb.metrics.InstanceMetrics;
import dev.caroblb.settings.InstanceSettings;
import dev.caroblb.settings.PeerSettings;
import dev.caroblb.transport.Channel;
import dev.caroblb.transport.PeerTransport;
import java.io.IOException;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalInt;
import java.util.Set;
import java.util.stream.Collectors;

/** Creates the duties that share state between instances: agreement, configuration, idempotency. */
final class SharedStateDuties implements AutoCloseable {
  private final InstanceSettings settings;
  private final long incarnation;
  private final DutyRegistry duties;
  private final PeerTransport transport;
  private final Outlet<LeaderLease> controlLeases;
  private final LateBoundOutlet<ConfigurationMessage> configuration = new LateBoundOutlet<>();
  private final LateBoundOutlet<IdempotencyMessage> idempotency = new LateBoundOutlet<>();
  private final EvacuationDuty evacuation = new EvacuationDuty();
  private final Optional<ControlReplica> replica;

  /** Settings of the instance, and its incarnation in this run. */
  record InstanceRun(InstanceSettings settings, long incarnation) {}

  SharedStateDuties(
      InstanceRun run,
      DutyRegistry duties,
      PeerTransport transport,
      ConfigurationGate gate,
      Outlet<KeyDecision> decisions,
      Outlet<ReplicaFault> faults,
      Outlet<LeaderLease> controlLeases,
      Outlet<EvacuationState> evacuations,
      InstanceMetrics metrics)
      throws IOException {
    this.settings = run.settings();
    this.incarnation = run.incarnation();
    this.duties = duties;
    this.transport = transport;
    this.controlLeases = controlLeases;
    replica = createReplica(faults);
    createConfiguration(gate);
    createIdempotency(decisions, metrics);
    evacuation.create(duties, transport, proposer(), metrics, evacuations);
    // The instances are those of the settings, so that they are announced once.
    boolean unused = evacuation.peersChanged(otherInstances(), replicas(), List.of());
  }

  private Set<InstanceId> otherInstances() {
    return settings.otherPeers().stream().map(PeerSettings::instance).collect(Collectors.toSet());
  }

  private Optional<ControlReplica> createReplica(Outlet<ReplicaFault> faults) throws IOException {
    if (settings.dataFolder().isEmpty()) {
      return Optional.empty();
    }
    return Optional.of(
        ControlReplica.open(
            new ReplicaSettings(
                settings.instance(),
                settings.cluster(),
                settings.dataFolder().orElseThrow(),
                replicas(),
                true,
                OptionalInt.empty()),
            stateMachines(),
            duties,
            transport,
            this::leaseChanged,
            faults));
  }

  private Map<GroupId, StateMachine> stateMachines() {
    Map<GroupId, StateMachine> machines = new LinkedHashMap<>();
    machines.put(
        GroupId.CONTROL, evacuation.sharedWith(new ConfigurationStateMachine(configuration)));
    for (int bucket = 0; bucket < settings.keyGroups(); bucket++) {
      machines.put(GroupId.keys(bucket), new KeyStateMachine(KeyLimits.DEFAULT));
    }
    return machines;
  }

  private boolean leaseChanged(LeaderLease lease) {
    if (lease.group().equals(GroupId.CONTROL)) {
      boolean delivered = controlLeases.offer(lease);
      delivered &= evacuation.leaseChanged(lease);
      return configuration.offer(new ConfigurationMessage.LeaseChanged(lease)) && delivered;
    }
    return idempotency.offer(new IdempotencyMessage.Leadership(lease));
  }

  private Proposer proposer() {
    if (replica.isPresent()) {
      return new AgreementProposer(replica.get().agreement());
    }
    return (group, command, reply) -> reply.offer(new ProposalOutcome.NotLeader(Optional.empty()));
  }

  private List<InstanceId> replicas() {
    return settings.peers().stream()
        .filter(PeerSettings::replica)
        .map(PeerSettings::instance)
        .toList();
  }

  private void createConfiguration(ConfigurationGate gate) {
    PeerChannel<PeerMessage> peers =
        new PeerChannel<>(transport, Channel.CONFIGURATION, new PeerMessageCodec());
    ConfigurationHandler handler =
        new ConfigurationHandler(
            settings.instance(),
            Long.toString(incarnation),
            replicas(),
            new ConfigurationOutlets(peers, gate, configuration),
            new GroupCommandProposer(proposer()),
            new ConfigurationCounters());
    Duty<ConfigurationMessage> duty = duties.create("configuration", handler);
    configuration.bind(duty);
    peers.setReceiver(
        message ->
            duty.offer(new ConfigurationMessage.PeerReceived(message.peer(), message.message())));
  }

  private void createIdempotency(Outlet<KeyDecision> decisions, InstanceMetrics metrics) {
    PeerChannel<KeyMessage> peers =
        new PeerChannel<>(transport, Channel.IDEMPOTENCY, new KeyMessageCodec());
    KeyInstance instance =
        new KeyInstance(
            settings.instance(), incarnation, new KeyGroups(settings.keyGroups()), replicas());
    IdempotencyOutlets outlets =
        new IdempotencyOutlets(
            peers,
            decisions,
            reason -> {
              metrics.countRetry(reason);
              return true;
            },
            idempotency);
    IdempotencyHandler handler =
        new IdempotencyHandler(instance, proposer(), new KeyCommandFormat(), outlets);
    Duty<IdempotencyMessage> duty = duties.create("idempotency", handler);
    idempotency.bind(duty);
    peers.setReceiver(
        message -> duty.offer(new IdempotencyMessage.FromPeer(message, duties.clock().wallMs())));
  }

  Outlet<ConfigurationMessage> configuration() {
    return configuration;
  }

  Outlet<IdempotencyMessage> idempotency() {
    return idempotency;
  }

  EvacuationDuty evacuation() {
    return evacuation;
  }

  Optional<ControlReplica> replica() {
    return replica;
  }

  @Override
  public void close() {
    replica.ifPresent(ControlReplica::close);
  }
}
