package dev.caroblb.daemon;

import dev.caroblb.admission.AdmissionCounts;
import dev.caroblb.admission.AdmissionHandler;
import dev.caroblb.admission.AdmissionMessage;
import dev.caroblb.admission.AdmissionOutlets;
import dev.caroblb.admission.AdmissionSettings;
import dev.caroblb.admission.WorkspaceShare;
import dev.caroblb.agreement.AgreementProposer;
import dev.caroblb.agreement.ReplicaFault;
import dev.caroblb.callers.CallersServer;
import dev.caroblb.configuration.ConfigurationCounters;
import dev.caroblb.configuration.ConfigurationHandler;
import dev.caroblb.configuration.ConfigurationMessage;
import dev.caroblb.configuration.ConfigurationOutlets;
import dev.caroblb.configuration.WorkspaceSettings;
import dev.caroblb.configuration.codec.ConfigurationStateMachine;
import dev.caroblb.configuration.codec.GroupCommandProposer;
import dev.caroblb.core.Addressed;
import dev.caroblb.core.Duty;
import dev.caroblb.core.GroupId;
import dev.caroblb.core.InstanceId;
import dev.caroblb.core.LeaderLease;
import dev.caroblb.core.LogLine;
import dev.caroblb.core.MillisClock;
import dev.caroblb.core.ProposalOutcome;
import dev.caroblb.core.Proposer;
import dev.caroblb.core.StateMachine;
import dev.caroblb.core.WorkspaceId;
import dev.caroblb.engines.EngineLinks;
import dev.caroblb.http.HttpConnector;
import dev.caroblb.http.HttpLimits;
import dev.caroblb.idempotency.IdempotencyHandler;
import dev.caroblb.idempotency.IdempotencyMessage;
import dev.caroblb.idempotency.IdempotencyOutlets;
import dev.caroblb.idempotency.KeyGroups;
import dev.caroblb.idempotency.KeyInstance;
import dev.caroblb.idempotency.KeyLimits;
import dev.caroblb.idempotency.codec.KeyCommandFormat;
import dev.caroblb.idempotency.codec.KeyMessageCodec;
import dev.caroblb.idempotency.codec.KeyStateMachine;
import dev.caroblb.membership.AllTargets;
import dev.caroblb.membership.LocalInstance;
import dev.caroblb.membership.MembershipHandler;
import dev.caroblb.membership.MembershipMessage;
import dev.caroblb.membership.MembershipOutlets;
import dev.caroblb.membership.TargetChange;
import dev.caroblb.membership.codec.MembershipCodec;
import dev.caroblb.placement.Fleet;
import dev.caroblb.placement.PlacementHandler;
import dev.caroblb.placement.PlacementMessage;
import dev.caroblb.placement.PolicyKind;
import dev.caroblb.settings.InstanceSettings;
import dev.caroblb.settings.PeerSettings;
import dev.caroblb.settings.PortsFile;
import dev.caroblb.streams.StreamLimits;
import dev.caroblb.streams.StreamObserver;
import dev.caroblb.streams.StreamOutlets;
import dev.caroblb.streams.StreamsHandler;
import dev.caroblb.streams.StreamsMessage;
import dev.caroblb.transport.Channel;
import dev.caroblb.transport.Hello;
import dev.caroblb.transport.PeerTransport;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.security.SecureRandom;
import java.util.ArrayList;
import java.util.HexFormat;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.stream.Collectors;

/** One running instance: creates its duties and connects their rings. */
final class Instance implements AutoCloseable {
  private static final System.Logger LOGGER = System.getLogger(Instance.class.getName());
  private static final int RING_CAPACITY = 16_384;
  private static final int IO_THREADS = 2;
  private static final long CONNECT_TIMEOUT_MS = 1_000;
  private static final int GENERATION_BYTES = 12;

  private final InstanceSettings settings;
  private final MillisClock clock;
  private final long incarnation;
  private final PeerTransport transport;
  private final HttpConnector connector;
  private final TargetDirectory targets = new TargetDirectory();
  private final Entries entries = new Entries();
  private final ConfigurationGate gate;
  private final DrainControl drain;
  private final LateOutlet<StreamsMessage> toStreams = new LateOutlet<>();
  private final LateOutlet<MembershipMessage> toMembership = new LateOutlet<>();
  private final LateOutlet<ConfigurationMessage> toConfiguration = new LateOutlet<>();
  private final LateOutlet<AdmissionMessage> toAdmission = new LateOutlet<>();
  private final LateOutlet<IdempotencyMessage> toIdempotency = new LateOutlet<>();
  private final LateOutlet<PlacementMessage> toPlacement = new LateOutlet<>();
  private final List<Duty<?>> duties = new ArrayList<>();
  private final CallFlow calls;
  private final KeyFlow keys;
  private final StreamsHandler streams;
  private final Optional<ControlReplica> replica;
  private final CallersServer server;

  private Instance(InstanceSettings settings, MillisClock clock) throws IOException {
    this.settings = settings;
    this.clock = clock;
    incarnation = clock.wallMs();
    transport = createTransport();
    connector = new HttpConnector(IO_THREADS, CONNECT_TIMEOUT_MS, settings.times().drainLimitMs());
    gate =
        new ConfigurationGate(
            clock,
            number -> toMembership.offer(new MembershipMessage.ConfigurationInForce(number)));
    drain = new DrainControl(gate, toStreams);
    calls = new CallFlow(toAdmission, toPlacement, toStreams, targets, this::share);
    keys = new KeyFlow(toIdempotency, toStreams, clock);
    streams = createStreams();
    createPlacement();
    createAdmission();
    replica = createReplica();
    createConfiguration();
    createIdempotency();
    server = createServer();
    createMembership();
  }

  /** Creates the instance and starts its threads. */
  static Instance start(InstanceSettings settings, MillisClock clock) throws IOException {
    Instance instance = new Instance(settings, clock);
    instance.run();
    return instance;
  }

  private PeerTransport createTransport() throws IOException {
    Map<InstanceId, InetSocketAddress> peers =
        settings.otherPeers().stream()
            .collect(
                Collectors.toMap(
                    PeerSettings::instance, peer -> peer.peersAddress().toInetSocketAddress()));
    Hello hello =
        new Hello(
            settings.cluster(),
            settings.instance().name(),
            Long.toString(incarnation),
            settings.clusterToken().text());
    return new PeerTransport(hello, settings.peersAddress().toInetSocketAddress(), peers, clock);
  }

  private StreamsHandler createStreams() {
    LateOutlet<StreamsMessage> events = toStreams;
    EngineLinks links = new EngineLinks(connector, settings.instance(), events);
    SecureRandom random = new SecureRandom();
    StreamsHandler handler =
        new StreamsHandler(
            new StreamOutlets(links, keys::command, calls::ended, calls::progressed),
            new StreamLimits(
                settings.times().targetStallMs(),
                settings.times().callerStallMs(),
                settings.times().abandonMs()),
            StreamObserver.none(),
            () -> suffix(random));
    toStreams.bind(add(new Duty<>("streams", RING_CAPACITY, handler, clock)));
    return handler;
  }

  private static String suffix(SecureRandom random) {
    byte[] bytes = new byte[GENERATION_BYTES];
    random.nextBytes(bytes);
    return HexFormat.of().formatHex(bytes);
  }

  private void createPlacement() {
    Fleet fleet = new Fleet();
    PlacementHandler handler =
        new PlacementHandler(
            fleet, PolicyKind.PREDICTIVE.create(fleet, incarnation), calls::decided);
    toPlacement.bind(add(new Duty<>("placement", RING_CAPACITY, handler, clock)));
  }

  private void createAdmission() {
    AdmissionHandler handler =
        new AdmissionHandler(
            AdmissionSettings.defaults(),
            new AdmissionOutlets(calls::ask, calls::start, calls::refuse),
            new AdmissionCounts(),
            incarnation);
    toAdmission.bind(add(new Duty<>("admission", RING_CAPACITY, handler, clock)));
  }

  /** The limit of a workspace holds for the system, so that each entry admits its part of it. */
  private Optional<WorkspaceShare> share(WorkspaceId workspace) {
    int entryCount = Math.max(1, entries.view().entries().size());
    return gate.snapshot()
        .workspace(workspace)
        .map(WorkspaceSettings::policy)
        .map(
            policy ->
                new WorkspaceShare(policy.share(), 1 + (policy.maxConcurrent() - 1) / entryCount));
  }

  private Optional<ControlReplica> createReplica() throws IOException {
    if (settings.dataFolder().isEmpty()) {
      return Optional.empty();
    }
    ControlReplica created =
        ControlReplica.open(
            settings,
            settings.dataFolder().get(),
            stateMachines(),
            transport,
            this::leaseChanged,
            this::replicaFailed,
            clock);
    duties.addAll(created.duties());
    return Optional.of(created);
  }

  private Map<GroupId, StateMachine> stateMachines() {
    Map<GroupId, StateMachine> machines = new LinkedHashMap<>();
    machines.put(GroupId.CONTROL, new ConfigurationStateMachine(toConfiguration));
    for (int bucket = 0; bucket < settings.keyGroups(); bucket++) {
      machines.put(GroupId.keys(bucket), new KeyStateMachine(KeyLimits.DEFAULT));
    }
    return machines;
  }

  private boolean leaseChanged(LeaderLease lease) {
    boolean told = toIdempotency.offer(new IdempotencyMessage.Leadership(lease));
    return toConfiguration.offer(new ConfigurationMessage.LeaseChanged(lease)) && told;
  }

  private boolean replicaFailed(ReplicaFault fault) {
    LOGGER.log(
        System.Logger.Level.ERROR,
        LogLine.of("replica.failed").with("cause", fault.message()).toString());
    drain.fail();
    return true;
  }

  private Proposer proposer() {
    if (replica.isPresent()) {
      return new AgreementProposer(replica.get().agreement());
    }
    return (group, command, reply) -> reply.offer(new ProposalOutcome.NotLeader(Optional.empty()));
  }

  private void createConfiguration() {
    dev.caroblb.configuration.codec.PeerMessageCodec codec =
        new dev.caroblb.configuration.codec.PeerMessageCodec();
    ConfigurationOutlets outlets =
        new ConfigurationOutlets(
            message ->
                transport.send(
                    message.peer(), Channel.CONFIGURATION, codec.encode(message.message())),
            gate,
            toConfiguration);
    ConfigurationHandler handler =
        new ConfigurationHandler(
            settings.instance(),
            Long.toString(incarnation),
            replicas(),
            outlets,
            new GroupCommandProposer(proposer()),
            new ConfigurationCounters());
    Duty<ConfigurationMessage> duty =
        add(new Duty<>("configuration", RING_CAPACITY, handler, clock));
    toConfiguration.bind(duty);
    transport.receive(
        Channel.CONFIGURATION,
        (from, body) ->
            codec
                .decode(body)
                .ifPresent(
                    message -> duty.offer(new ConfigurationMessage.PeerReceived(from, message))));
  }

  private void createIdempotency() {
    KeyMessageCodec codec = new KeyMessageCodec();
    KeyInstance instance =
        new KeyInstance(
            settings.instance(), incarnation, new KeyGroups(settings.keyGroups()), replicas());
    IdempotencyOutlets outlets =
        new IdempotencyOutlets(
            message ->
                transport.send(
                    message.peer(), Channel.IDEMPOTENCY, codec.encode(message.message())),
            keys::decided,
            reason -> true,
            toIdempotency);
    IdempotencyHandler handler =
        new IdempotencyHandler(instance, proposer(), new KeyCommandFormat(), outlets);
    Duty<IdempotencyMessage> duty =
        add(new Duty<>("idempotency", RING_CAPACITY, handler, clock));
    toIdempotency.bind(duty);
    transport.receive(
        Channel.IDEMPOTENCY,
        (from, body) ->
            codec
                .decode(body)
                .ifPresent(
                    message ->
                        duty.offer(
                            new IdempotencyMessage.FromPeer(
                                new Addressed<>(from, message), clock.wallMs()))));
  }

  private List<InstanceId> replicas() {
    return settings.peers().stream()
        .filter(PeerSettings::replica)
        .map(PeerSettings::instance)
        .toList();
  }

  private CallersServer createServer() throws IOException {
    HttpLimits limits =
        new HttpLimits(
            settings.limits().maxHeaderBytes(),
            HttpLimits.DEFAULTS.maxHeaders(),
            settings.limits().maxBodyBytes(),
            HttpLimits.DEFAULTS.idleMs(),
            HttpLimits.DEFAULTS.outputBytes(),
            IO_THREADS);
    InstanceStatus status =
        new InstanceStatus(settings.instance(), gate, entries, targets, streams::running, () -> "");
    CallersServer.Ports ports =
        new CallersServer.Ports(
            gate,
            calls,
            new Publishes(toConfiguration),
            new Announcements(toMembership),
            entries,
            status,
            reason -> {});
    return CallersServer.start(
        ports,
        new CallersServer.Limits(
            limits,
            settings.limits().maxStreams(),
            settings.operatorTokenSha256(),
            settings.targetTokenSha256()),
        settings.callersAddress().toInetSocketAddress(),
        clock);
  }

  private void createMembership() {
    MembershipCodec codec = new MembershipCodec();
    MembershipOutlets outlets =
        new MembershipOutlets(
            message ->
                transport.send(message.peer(), Channel.MEMBERSHIP, codec.encode(message.message())),
            this::targetChanged,
            view -> entries.offer(view) && keys.instancesChanged(view),
            drain);
    LocalInstance self =
        new LocalInstance(settings.instance(), incarnation, settings.domain(), advertisedAddress());
    MembershipHandler handler =
        new MembershipHandler(
            self,
            settings.otherPeers().stream().map(PeerSettings::instance).collect(Collectors.toSet()),
            settings.times().drainLimitMs(),
            new AllTargets(),
            outlets);
    Duty<MembershipMessage> duty = add(new Duty<>("membership", RING_CAPACITY, handler, clock));
    toMembership.bind(duty);
    transport.receive(
        Channel.MEMBERSHIP,
        (from, body) ->
            codec
                .decode(body)
                .ifPresent(
                    message ->
                        duty.offer(
                            new MembershipMessage.FromPeer(new Addressed<>(from, message)))));
  }

  private String advertisedAddress() {
    InetSocketAddress address = server.address();
    return settings.callersAddress().host() + ":" + address.getPort();
  }

  private boolean targetChanged(TargetChange change) {
    boolean delivered = true;
    for (PlacementMessage message : targets.translate(change)) {
      delivered &= toPlacement.offer(message);
    }
    return delivered;
  }

  private <M> Duty<M> add(Duty<M> duty) {
    duties.add(duty);
    return duty;
  }

  private void run() throws IOException {
    transport.start();
    duties.forEach(Duty::start);
    int peersPort = transport.address().getPort();
    int callersPort = server.address().getPort();
    if (settings.portsFile().isPresent()) {
      PortsFile.write(settings.portsFile().get(), callersPort, peersPort);
    }
    LOGGER.log(
        System.Logger.Level.INFO,
        LogLine.of("instance.started")
            .with("instance", settings.instance())
            .with("domain", settings.domain())
            .with("callers", advertisedAddress())
            .with("replica", replica.isPresent())
            .toString());
  }

  /** Starts the planned stop at a termination signal; the second one shortens it. */
  void stopOnSignal() {
    TerminationSignal.onEach(() -> toMembership.offer(new MembershipMessage.StopRequested()));
  }

  /** Waits until the instance may exit. */
  void awaitStop() throws InterruptedException {
    drain.await(() -> streams.running() == 0 && server.openCalls() == 0);
  }

  /** Whether the instance stopped because its durable state failed. */
  boolean failed() {
    return drain.failed();
  }

  @Override
  public void close() {
    LOGGER.log(
        System.Logger.Level.INFO,
        LogLine.of("instance.stopped").with("instance", settings.instance()).toString());
    server.close();
    duties.forEach(Duty::close);
    replica.ifPresent(ControlReplica::close);
    connector.close();
    transport.close();
  }
}
