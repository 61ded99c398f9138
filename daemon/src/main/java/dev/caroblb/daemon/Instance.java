package dev.caroblb.daemon;

import dev.caroblb.agreement.ReplicaFault;
import dev.caroblb.callers.CallersServer;
import dev.caroblb.configuration.ConfigurationSnapshot;
import dev.caroblb.core.Duty;
import dev.caroblb.core.FailureDomain;
import dev.caroblb.core.InstanceId;
import dev.caroblb.core.LeaderLease;
import dev.caroblb.core.LogLine;
import dev.caroblb.core.MillisClock;
import dev.caroblb.evacuation.EvacuationState;
import dev.caroblb.http.HttpConnector;
import dev.caroblb.http.HttpLimits;
import dev.caroblb.idempotency.IdempotencyMessage;
import dev.caroblb.membership.AllTargets;
import dev.caroblb.membership.FixedTopology;
import dev.caroblb.membership.LocalInstance;
import dev.caroblb.membership.MembershipHandler;
import dev.caroblb.membership.MembershipMessage;
import dev.caroblb.membership.MembershipOutlets;
import dev.caroblb.membership.PeerMessage;
import dev.caroblb.membership.TargetChange;
import dev.caroblb.membership.codec.MembershipCodec;
import dev.caroblb.metrics.InstanceMetrics;
import dev.caroblb.placement.PlacementMessage;
import dev.caroblb.settings.InstanceSettings;
import dev.caroblb.settings.LimitSettings;
import dev.caroblb.settings.PeerSettings;
import dev.caroblb.settings.PortsFile;
import dev.caroblb.streams.StreamsMessage;
import dev.caroblb.transport.Channel;
import dev.caroblb.transport.Hello;
import dev.caroblb.transport.PeerDirectory;
import dev.caroblb.transport.PeerTransport;
import dev.caroblb.transport.TransportCounters;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.util.HashSet;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.stream.Collectors;

/** One running instance: creates its duties and connects their queues. */
final class Instance implements AutoCloseable {
  private static final System.Logger LOGGER = System.getLogger(Instance.class.getName());
  private static final int IO_THREADS = 2;
  private static final long CONNECT_TIMEOUT_MS = 1_000;

  private final InstanceSettings settings;
  private final long incarnation;
  private final DutyRegistry duties;
  private final PeerTransport transport;
  private final HttpConnector connector;
  private final InstanceMetrics metrics = new InstanceMetrics();
  private final MembershipEntryDirectory entries = new MembershipEntryDirectory();
  private final LateBoundOutlet<MembershipMessage> membership = new LateBoundOutlet<>();
  private final KeyBridge keys;
  private final CallDuties calls;
  private final DrainController drain;
  private final SharedStateDuties shared;
  private final Optional<OrderBridge> orders;
  private final CallersServer server;

  private Instance(InstanceSettings settings, MillisClock clock) throws IOException {
    this.settings = settings;
    incarnation = clock.wallMs();
    duties = new DutyRegistry(clock);
    transport = createTransport(clock);
    connector = new HttpConnector(IO_THREADS, CONNECT_TIMEOUT_MS, settings.times().drainLimitMs());
    ConfigurationGate gate =
        new ConfigurationGate(clock, this::configurationChanged, this::leaseRenewed);
    LateBoundOutlet<IdempotencyMessage> toIdempotency = new LateBoundOutlet<>();
    LateBoundOutlet<StreamsMessage> toStreams = new LateBoundOutlet<>();
    keys = new KeyBridge(toIdempotency, toStreams, clock);
    calls = new CallDuties(settings, duties, connector, gate, entries, metrics, keys::execute);
    toStreams.bind(calls.streams());
    drain = new DrainController(gate, calls.streams());
    orders = createOrders();
    shared =
        new SharedStateDuties(
            new SharedStateDuties.InstanceRun(settings, incarnation),
            duties,
            transport,
            gate,
            keys::keyDecided,
            this::replicaFailed,
            this::controlLeaseChanged,
            this::evacuationsChanged,
            metrics);
    toIdempotency.bind(shared.idempotency());
    server = createServer(gate, clock);
    createMembership();
    registerMetrics(gate);
  }

  /** Creates the instance and starts its threads. */
  static Instance start(InstanceSettings settings, MillisClock clock) throws IOException {
    Instance instance = new Instance(settings, clock);
    instance.stopOnSignal();
    instance.run();
    return instance;
  }

  private PeerTransport createTransport(MillisClock clock) throws IOException {
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
    PeerTransport created =
        new PeerTransport(
            hello,
            settings.peersAddress().toInetSocketAddress(),
            PeerDirectory.fixed(peers),
            clock);
    peers.keySet().forEach(created::connect);
    return created;
  }

  /** Only replicas can lead the control group and send orders to engines. */
  private Optional<OrderBridge> createOrders() {
    if (!settings.replica()) {
      return Optional.empty();
    }
    return Optional.of(
        new OrderBridge(settings.instance(), duties, connector, calls.targets(), metrics));
  }

  private boolean configurationChanged(ConfigurationSnapshot snapshot) {
    orders.ifPresent(bridge -> bridge.wantedModelsChanged(snapshot));
    return membership.offer(new MembershipMessage.ConfigurationInstalled(snapshot.number()));
  }

  private boolean leaseRenewed(long validUntilMs) {
    return membership.offer(new MembershipMessage.AdmitsUntil(validUntilMs));
  }

  private boolean controlLeaseChanged(LeaderLease lease) {
    return orders.map(bridge -> bridge.leaseChanged(lease)).orElse(true);
  }

  private boolean replicaFailed(ReplicaFault fault) {
    LOGGER.log(
        System.Logger.Level.ERROR,
        LogLine.of("replica.failed").with("cause", fault.message()).toString());
    drain.fail();
    return true;
  }

  private CallersServer createServer(ConfigurationGate gate, MillisClock clock) throws IOException {
    LimitSettings limits = settings.limits();
    HttpLimits http =
        new HttpLimits(
            limits.maxHeaderBytes(),
            HttpLimits.DEFAULTS.maxHeaders(),
            limits.maxBodyBytes(),
            limits.requestTimeLimitMs(),
            HttpLimits.DEFAULTS.maxOutputBytes(),
            IO_THREADS,
            limits.backlog());
    InstanceStatus status =
        new InstanceStatus(
            settings.instance(),
            gate,
            entries,
            calls.targets(),
            calls::running,
            metrics::text,
            shared.evacuation()::inForce);
    shared.replica().ifPresent(status::refreshFrom);
    CallersServer.InstanceServices services =
        new CallersServer.InstanceServices(
            gate,
            calls.bridge(),
            new ConfigurationPublishSink(shared.configuration()),
            new MembershipTargetSink(membership),
            entries,
            status,
            metrics::countRefusal,
            new EvacuationOrderSink(shared.evacuation(), domains()));
    return CallersServer.start(
        services,
        new CallersServer.Limits(
            http,
            limits.maxStreams(),
            settings.operatorTokenSha256(),
            settings.targetTokenSha256()),
        settings.callersAddress().toInetSocketAddress(),
        clock);
  }

  /** The failure domains that the settings name. */
  private Set<FailureDomain> domains() {
    Set<FailureDomain> domains = new HashSet<>();
    settings.peers().forEach(peer -> domains.add(peer.domain()));
    domains.add(settings.domain());
    return domains;
  }

  private void createMembership() {
    PeerChannel<PeerMessage> peers =
        new PeerChannel<>(transport, Channel.MEMBERSHIP, new MembershipCodec());
    MembershipOutlets outlets =
        new MembershipOutlets(
            peers,
            this::targetChanged,
            view -> entries.offer(view) && keys.instancesChanged(view),
            drain);
    MembershipHandler handler =
        new MembershipHandler(
            new LocalInstance(
                settings.instance(), incarnation, settings.domain(), advertisedAddress()),
            new FixedTopology(
                settings.otherPeers().stream()
                    .map(PeerSettings::instance)
                    .collect(Collectors.toSet())),
            settings.times().drainLimitMs(),
            new AllTargets(),
            outlets);
    Duty<MembershipMessage> duty = duties.create("membership", handler);
    membership.bind(duty);
    // The first message of the duty, so that its first heartbeat does not announce an entry that
    // still refuses calls.
    duty.offer(new MembershipMessage.AdmitsUntil(Long.MIN_VALUE));
    peers.setReceiver(message -> duty.offer(new MembershipMessage.FromPeer(message)));
  }

  private String advertisedAddress() {
    return settings.callersAddress().host() + ":" + server.address().getPort();
  }

  private boolean evacuationsChanged(EvacuationState state) {
    boolean delivered = true;
    for (PlacementMessage message : calls.targets().setEvacuated(state.domains())) {
      delivered &= calls.placement().offer(message);
    }
    orders.ifPresent(OrderBridge::enginesChanged);
    return delivered;
  }

  private boolean targetChanged(TargetChange change) {
    boolean delivered = true;
    for (PlacementMessage message : calls.targets().apply(change)) {
      delivered &= calls.placement().offer(message);
    }
    orders.ifPresent(OrderBridge::enginesChanged);
    return delivered;
  }

  private void registerMetrics(ConfigurationGate gate) {
    duties.all().forEach(metrics::addDuty);
    metrics.addConfigurationNumberGauge(() -> gate.snapshot().number());
    metrics.addRunningStreamsGauge(calls::running);
    TransportCounters counters = transport.counters();
    String name = "caroblb.peers";
    String description = "Frames and connections between instances";
    metrics.addCounter(name, description, "event", "frame_sent", counters::sentFrames);
    metrics.addCounter(name, description, "event", "frame_dropped", counters::droppedFrames);
    metrics.addCounter(name, description, "event", "frame_malformed", counters::malformedFrames);
    metrics.addCounter(
        name, description, "event", "connection_refused", counters::refusedConnections);
    metrics.addCounter(
        "caroblb.peers.bytes", "Bytes sent", "direction", "sent", counters::sentBytes);
  }

  private void run() throws IOException {
    transport.start();
    duties.start();
    if (settings.portsFile().isPresent()) {
      PortsFile.write(
          settings.portsFile().get(), server.address().getPort(), transport.address().getPort());
    }
    LOGGER.log(
        System.Logger.Level.INFO,
        LogLine.of("instance.started")
            .with("instance", settings.instance())
            .with("domain", settings.domain())
            .with("callers", advertisedAddress())
            .with("replica", settings.replica())
            .toString());
  }

  /** Starts a planned stop on a termination signal; a second signal shortens it. */
  private void stopOnSignal() {
    TerminationSignal.onTermination(() -> membership.offer(new MembershipMessage.StopRequested()));
  }

  /** Waits until the instance may exit. */
  void awaitStop() throws InterruptedException {
    drain.await(() -> calls.running() == 0 && server.openCalls() == 0);
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
    duties.close();
    shared.close();
    orders.ifPresent(OrderBridge::close);
    connector.close();
    transport.close();
  }
}
