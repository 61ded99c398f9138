package dev.caroblb.daemon;

import dev.caroblb.agreement.AgreementProposer;
import dev.caroblb.agreement.ReplicaFault;
import dev.caroblb.core.Duty;
import dev.caroblb.core.GroupId;
import dev.caroblb.core.LeaderLease;
import dev.caroblb.core.LogLine;
import dev.caroblb.core.MillisClock;
import dev.caroblb.core.Outlet;
import dev.caroblb.core.ProposalOutcome;
import dev.caroblb.core.Proposer;
import dev.caroblb.core.TargetRun;
import dev.caroblb.evacuation.EvacuationMessage;
import dev.caroblb.evacuation.EvacuationState;
import dev.caroblb.forwarding.ForwardingHandler;
import dev.caroblb.forwarding.ForwardingMessage;
import dev.caroblb.forwarding.ForwardingOutlets;
import dev.caroblb.forwarding.TargetPort;
import dev.caroblb.membership.AllTargets;
import dev.caroblb.membership.ContactTopology;
import dev.caroblb.membership.DrainProgress;
import dev.caroblb.membership.InstanceView;
import dev.caroblb.membership.LocalInstance;
import dev.caroblb.membership.MembershipHandler;
import dev.caroblb.membership.MembershipMessage;
import dev.caroblb.membership.MembershipOutlets;
import dev.caroblb.membership.codec.MembershipCodec;
import dev.caroblb.metrics.InstanceMetrics;
import dev.caroblb.pacing.PacingGauges;
import dev.caroblb.pacing.codec.PacingCodec;
import dev.caroblb.resumption.codec.ResumptionCodec;
import dev.caroblb.routing.RoutingFormat;
import dev.caroblb.routing.RoutingHandler;
import dev.caroblb.routing.RoutingMessage;
import dev.caroblb.routing.RoutingOutlets;
import dev.caroblb.routing.RoutingTable;
import dev.caroblb.routing.codec.GroupCommandProposer;
import dev.caroblb.routing.codec.PeerMessageCodec;
import dev.caroblb.routing.codec.RoutingStateMachine;
import dev.caroblb.scheduling.SchedulingHandler;
import dev.caroblb.scheduling.SchedulingMessage;
import dev.caroblb.scheduling.codec.SchedulingCodec;
import dev.caroblb.transport.Channel;
import dev.caroblb.transport.Hello;
import dev.caroblb.transport.PeerTransport;
import java.io.IOException;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalInt;
import java.util.Random;
import java.util.Set;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;

/**
 * An instance that discovers the others through its seeds and forwards requests by the active
 * routing table. Adapters provide the interfaces for callers, targets and operators.
 */
public final class ForwardingInstance implements AutoCloseable {
  private static final System.Logger LOGGER = System.getLogger(ForwardingInstance.class.getName());
  private static final long DRAIN_POLL_MS = 100;
  private static final long STOP_RETRY_MS = 20;

  private final ForwardingInstanceSettings settings;
  private final DutyRegistry duties;
  private final PeerTransport transport;
  private final InstanceMetrics metrics = new InstanceMetrics();
  private final LateBoundOutlet<RoutingMessage> routing = new LateBoundOutlet<>();
  private final LateBoundOutlet<ForwardingMessage> forwarding = new LateBoundOutlet<>();
  private final Optional<LateBoundOutlet<SchedulingMessage>> scheduling;
  private final Optional<ResumptionDuties> resumption;
  private final LateBoundOutlet<MembershipMessage> membership = new LateBoundOutlet<>();
  private final RoutingStateMachine routingStateMachine = new RoutingStateMachine(routing);
  private final EvacuationDuty evacuation = new EvacuationDuty();
  private final Optional<ControlReplica> replica;
  private final ForwardingHandler forwardingHandler;
  private final MembersBridge members;
  private final CountDownLatch immediateStop = new CountDownLatch(1);
  private final CountDownLatch stopStarted = new CountDownLatch(1);
  private volatile Optional<RoutingTable> table = Optional.empty();
  private volatile Optional<DrainProgress> drain = Optional.empty();
  private volatile boolean failed;

  /** Creates the duties; nothing runs before {@link #start()}. */
  public ForwardingInstance(
      ForwardingInstanceSettings settings,
      RoutingFormat format,
      TargetPort targets,
      MillisClock clock)
      throws IOException {
    this.settings = settings;
    duties = new DutyRegistry(clock);
    long incarnation = clock.wallMs();
    transport =
        new PeerTransport(
            new Hello(
                settings.cluster(),
                settings.instance().name(),
                Long.toString(incarnation),
                settings.token()),
            settings.peersAddress(),
            settings.directory(),
            clock);
    scheduling =
        settings.hasControlReplica() ? Optional.of(new LateBoundOutlet<>()) : Optional.empty();
    resumption =
        settings.hasControlReplica() ? Optional.of(new ResumptionDuties()) : Optional.empty();
    replica = settings.hasControlReplica() ? Optional.of(openReplica()) : Optional.empty();
    createRouting(format);
    forwardingHandler = createForwarding(targets);
    evacuation.create(
        duties,
        transport,
        proposer(),
        metrics,
        EvacuationDuty.toTargetChoice(forwarding, scheduling));
    members = new MembersBridge(settings, routing, forwarding, scheduling, resumption, evacuation);
    createMembership(incarnation);
    duties.all().forEach(metrics::addDuty);
  }

  private ControlReplica openReplica() throws IOException {
    return ControlReplica.open(
        new ReplicaSettings(
            settings.instance(),
            settings.cluster(),
            settings.dataFolder().orElseThrow(),
            settings.seeds(),
            settings.firstStart(),
            OptionalInt.of(settings.toleratedLosses())),
        Map.of(GroupId.CONTROL, evacuation.sharedWith(routingStateMachine)),
        duties,
        transport,
        this::leaseChanged,
        this::replicaFailed);
  }

  private boolean leaseChanged(LeaderLease lease) {
    boolean known = evacuation.leaseChanged(lease);
    return routing.offer(new RoutingMessage.LeaseChanged(lease)) && known;
  }

  private boolean replicaFailed(ReplicaFault fault) {
    LOGGER.log(
        System.Logger.Level.ERROR,
        LogLine.of("replica.failed").with("cause", fault.message()).toString());
    failed = true;
    stopNow();
    return true;
  }

  private void createRouting(RoutingFormat format) {
    PeerChannel<dev.caroblb.routing.PeerMessage> peers =
        new PeerChannel<>(transport, Channel.CONFIGURATION, new PeerMessageCodec());
    RoutingHandler handler =
        new RoutingHandler(
            format,
            new GroupCommandProposer(proposer()),
            new RoutingOutlets(peers, this::tableInstalled, routing));
    Duty<RoutingMessage> duty = duties.create("routing", handler);
    routing.bind(duty);
    // The replica restored its snapshot before the routing outlet was bound to its duty.
    routingStateMachine.offerAccepted();
    peers.setReceiver(message -> duty.offer(new RoutingMessage.FromPeer(message)));
  }

  private Proposer proposer() {
    if (replica.isPresent()) {
      return new AgreementProposer(replica.get().agreement());
    }
    return (group, command, reply) -> reply.offer(new ProposalOutcome.NotLeader(Optional.empty()));
  }

  private boolean tableInstalled(RoutingTable installed) {
    table = Optional.of(installed);
    membership.offer(new MembershipMessage.ConfigurationInstalled(installed.number()));
    boolean scheduled =
        scheduling.isEmpty()
            || scheduling.get().offer(new SchedulingMessage.TableInstalled(installed));
    return scheduled && forwarding.offer(new ForwardingMessage.TableInstalled(installed));
  }

  private ForwardingHandler createForwarding(TargetPort targets) {
    PeerChannel<dev.caroblb.forwarding.PeerMessage> evidence =
        new PeerChannel<>(
            transport, Channel.FORWARDING, new dev.caroblb.forwarding.codec.PeerMessageCodec());
    PeerChannel<dev.caroblb.scheduling.PeerMessage> schedulers =
        new PeerChannel<>(transport, Channel.SCHEDULING, new SchedulingCodec());
    PeerChannel<dev.caroblb.pacing.PeerMessage> limits =
        new PeerChannel<>(transport, Channel.PACING, new PacingCodec());
    PeerChannel<dev.caroblb.resumption.PeerMessage> origins =
        new PeerChannel<>(transport, Channel.RESUMPTION, new ResumptionCodec());
    ForwardingHandler handler =
        new ForwardingHandler(
            settings.forwarding(),
            targets,
            new ForwardingOutlets(schedulers, limits, evidence, origins, this::targetLeaves),
            new CallMetricsObserver(metrics),
            new Random());
    Duty<ForwardingMessage> duty = duties.create("forwarding", handler);
    forwarding.bind(duty);
    evidence.setReceiver(message -> duty.offer(new ForwardingMessage.FromPeer(message)));
    if (scheduling.isPresent()) {
      createScheduling(scheduling.get(), schedulers, limits);
      resumption
          .orElseThrow()
          .create(duties, settings.dataFolder().orElseThrow(), origins, metrics);
    } else {
      addPacingMetrics(handler.pacingGauges());
      schedulers.setReceiver(message -> duty.offer(new ForwardingMessage.FromScheduler(message)));
      limits.setReceiver(message -> duty.offer(new ForwardingMessage.LimitsFromPeer(message)));
      origins.setReceiver(message -> duty.offer(new ForwardingMessage.FromResumption(message)));
    }
    return handler;
  }

  private void createScheduling(
      LateBoundOutlet<SchedulingMessage> outlet,
      PeerChannel<dev.caroblb.scheduling.PeerMessage> peers,
      PeerChannel<dev.caroblb.pacing.PeerMessage> limits) {
    SchedulingHandler handler =
        new SchedulingHandler(peers, limits, new Random(), settings.learnsRates());
    addPacingMetrics(handler.pacingGauges());
    Duty<SchedulingMessage> duty = duties.create("scheduling", handler);
    outlet.bind(duty);
    peers.setReceiver(message -> duty.offer(new SchedulingMessage.FromPeer(message)));
    limits.setReceiver(message -> duty.offer(new SchedulingMessage.LimitsFromPeer(message)));
  }

  private void addPacingMetrics(PacingGauges gauges) {
    metrics.addGauge("caroblb.targets.warming", "Targets that are cold", gauges::warming);
    metrics.addGauge("caroblb.targets.paced", "Targets whose rate is learned", gauges::paced);
    metrics.addCounter(
        "caroblb.permits", "Permits for requests", "outcome", "denied", gauges::denied);
  }

  private void createMembership(long incarnation) {
    PeerChannel<dev.caroblb.membership.PeerMessage> peers =
        new PeerChannel<>(transport, Channel.MEMBERSHIP, new MembershipCodec());
    MembershipHandler handler =
        new MembershipHandler(
            new LocalInstance(
                settings.instance(),
                incarnation,
                settings.domain(),
                settings.callersAddress().orElse(""),
                settings.resources()),
            new ContactTopology(
                settings.instance(), settings.hasControlReplica(), Set.copyOf(settings.seeds())),
            settings.drainLimitMs(),
            new AllTargets(),
            new MembershipOutlets(
                peers,
                new TargetChangeBridge(forwarding, scheduling),
                members,
                this::drainProgressed));
    Duty<MembershipMessage> duty = duties.create("membership", handler);
    membership.bind(duty);
    peers.setReceiver(message -> duty.offer(new MembershipMessage.FromPeer(message)));
  }

  private boolean targetLeaves(TargetRun run) {
    return membership.offer(new MembershipMessage.LeavingObserved(run.target(), run.incarnation()));
  }

  private boolean drainProgressed(DrainProgress progress) {
    drain = Optional.of(progress);
    stopStarted.countDown();
    LOGGER.log(
        System.Logger.Level.INFO,
        LogLine.of("instance.drain")
            .with("stage", progress.stage())
            .with("running", forwardingHandler.running())
            .toString());
    if (!forwarding.offer(new ForwardingMessage.DrainStarted(progress.limitAtMs()))) {
      return false;
    }
    return switch (progress.stage()) {
      case ANNOUNCED -> true;
      case REFUSE_NEW_CALLS -> forwarding.offer(new ForwardingMessage.RefuseNew());
      case LIMIT_REACHED -> forwarding.offer(new ForwardingMessage.AbortRunning());
    };
  }

  public void start() {
    transport.start();
    duties.start();
  }

  /**
   * Starts a planned stop; a second call shortens it. An instance that serves no callers stops at
   * once.
   */
  public void requestStop() {
    offerStop();
    if (settings.callersAddress().isEmpty()) {
      stopNow();
    }
  }

  /** Offers the request again while the ring is full: without it the process would be killed. */
  private void offerStop() {
    if (!membership.offer(new MembershipMessage.StopRequested())) {
      CompletableFuture.delayedExecutor(STOP_RETRY_MS, TimeUnit.MILLISECONDS)
          .execute(this::offerStop);
    }
  }

  private void stopNow() {
    immediateStop.countDown();
    stopStarted.countDown();
  }

  /** Calls {@link #requestStop()} on each termination signal. */
  public void stopOnSignal() {
    TerminationSignal.onTermination(this::requestStop);
  }

  /** Runs the action on each signal that requests a reload of the settings. */
  public void reloadOnSignal(Runnable action) {
    TerminationSignal.onReload(action);
  }

  /** Waits until a stop has ended or the replica has failed. */
  public void awaitStop() throws InterruptedException {
    stopStarted.await();
    while (!immediateStop.await(DRAIN_POLL_MS, TimeUnit.MILLISECONDS)) {
      if (forwardingHandler.drained()) {
        return;
      }
    }
  }

  /** Whether the replica stopped because of a failure. */
  public boolean failed() {
    return failed;
  }

  public boolean draining() {
    return drain.isPresent();
  }

  /** Time at which requests that still run are ended; empty if no planned stop has begun. */
  public Optional<Long> drainLimitAtMs() {
    return drain.map(DrainProgress::limitAtMs);
  }

  /** Number of requests in progress; may be called from any thread. */
  public int running() {
    return forwardingHandler.running();
  }

  public InstanceView view() {
    return members.view();
  }

  public Optional<RoutingTable> table() {
    return table;
  }

  public InstanceMetrics metrics() {
    return metrics;
  }

  public Outlet<RoutingMessage> routing() {
    return routing;
  }

  public Outlet<EvacuationMessage> evacuation() {
    return evacuation;
  }

  /** The evacuated failure domains that this instance knows of. */
  public EvacuationState evacuations() {
    return evacuation.inForce();
  }

  public Outlet<ForwardingMessage> forwarding() {
    return forwarding;
  }

  public Outlet<MembershipMessage> membership() {
    return membership;
  }

  @Override
  public void close() {
    duties.close();
    replica.ifPresent(ControlReplica::close);
    resumption.ifPresent(ResumptionDuties::close);
    transport.close();
  }
}
