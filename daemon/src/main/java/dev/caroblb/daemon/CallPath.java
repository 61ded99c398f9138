package dev.caroblb.daemon;

import dev.caroblb.admission.AdmissionCounts;
import dev.caroblb.admission.AdmissionHandler;
import dev.caroblb.admission.AdmissionMessage;
import dev.caroblb.admission.AdmissionOutlets;
import dev.caroblb.admission.AdmissionSettings;
import dev.caroblb.admission.WorkspaceShare;
import dev.caroblb.configuration.WorkspaceSettings;
import dev.caroblb.core.Outlet;
import dev.caroblb.core.RetryReason;
import dev.caroblb.core.WorkspaceId;
import dev.caroblb.engines.EngineLinks;
import dev.caroblb.http.HttpConnector;
import dev.caroblb.metrics.InstanceMetrics;
import dev.caroblb.placement.Fleet;
import dev.caroblb.placement.PlacementHandler;
import dev.caroblb.placement.PlacementMessage;
import dev.caroblb.placement.PolicyKind;
import dev.caroblb.settings.InstanceSettings;
import dev.caroblb.settings.TimeSettings;
import dev.caroblb.streams.KeyCommand;
import dev.caroblb.streams.StreamLimits;
import dev.caroblb.streams.StreamOutlets;
import dev.caroblb.streams.StreamsHandler;
import dev.caroblb.streams.StreamsMessage;
import java.security.SecureRandom;
import java.util.HexFormat;
import java.util.Optional;

/** The duties that a call passes: admission, placement and streams. */
final class CallPath {
  private static final int GENERATION_BYTES = 12;

  private final ConfigurationGate gate;
  private final Entries entries;
  private final LateOutlet<AdmissionMessage> admission = new LateOutlet<>();
  private final LateOutlet<PlacementMessage> placement = new LateOutlet<>();
  private final LateOutlet<StreamsMessage> streams = new LateOutlet<>();
  private final TargetDirectory targets;
  private final CallFlow flow;
  private final StreamsHandler handler;

  CallPath(
      InstanceSettings settings,
      DutyList duties,
      HttpConnector connector,
      ConfigurationGate gate,
      Entries entries,
      InstanceMetrics metrics,
      Outlet<KeyCommand> keys) {
    this.gate = gate;
    this.entries = entries;
    targets = new TargetDirectory(metrics::preempted);
    flow = new CallFlow(admission, placement, streams, targets, this::share);
    handler = createStreams(settings, connector, metrics, keys);
    streams.bind(duties.create("streams", handler));
    long seed = duties.clock().wallMs();
    placement.bind(duties.create("placement", createPlacement(seed)));
    AdmissionCounts counts = new AdmissionCounts();
    AdmissionHandler admissionHandler =
        new AdmissionHandler(
            AdmissionSettings.defaults(),
            new AdmissionOutlets(flow::ask, flow::start, flow::refuse),
            counts,
            seed);
    admission.bind(duties.create("admission", admissionHandler));
    for (RetryReason reason : RetryReason.values()) {
      metrics.addTotal(
          "caroblb.admission.retries",
          "Calls placed again",
          "reason",
          reason.wireName(),
          () -> counts.retries(reason));
    }
  }

  private StreamsHandler createStreams(
      InstanceSettings settings,
      HttpConnector connector,
      InstanceMetrics metrics,
      Outlet<KeyCommand> keys) {
    TimeSettings times = settings.times();
    SecureRandom random = new SecureRandom();
    return new StreamsHandler(
        new StreamOutlets(
            new EngineLinks(connector, settings.instance(), streams),
            keys,
            flow::ended,
            flow::progressed),
        new StreamLimits(times.targetStallMs(), times.callerStallMs(), times.abandonMs()),
        new MetricsObserver(metrics),
        () -> suffix(random));
  }

  private static String suffix(SecureRandom random) {
    byte[] bytes = new byte[GENERATION_BYTES];
    random.nextBytes(bytes);
    return HexFormat.of().formatHex(bytes);
  }

  private PlacementHandler createPlacement(long seed) {
    Fleet fleet = new Fleet();
    return new PlacementHandler(fleet, PolicyKind.PREDICTIVE.create(fleet, seed), flow::decided);
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

  CallFlow flow() {
    return flow;
  }

  TargetDirectory targets() {
    return targets;
  }

  Outlet<StreamsMessage> streams() {
    return streams;
  }

  Outlet<PlacementMessage> placement() {
    return placement;
  }

  /** Number of calls between dispatch and final event. */
  int running() {
    return handler.running();
  }
}
