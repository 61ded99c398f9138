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

/** Creates the duties that process a call: admission, placement and streams. */
final class CallDuties {
  private static final int GENERATION_SUFFIX_BYTES = 12;

  private final ConfigurationGate gate;
  private final MembershipEntryDirectory entries;
  private final LateBoundOutlet<AdmissionMessage> admission = new LateBoundOutlet<>();
  private final LateBoundOutlet<PlacementMessage> placement = new LateBoundOutlet<>();
  private final LateBoundOutlet<StreamsMessage> streams = new LateBoundOutlet<>();
  private final TargetDirectory targets;
  private final CallBridge bridge;
  private final StreamsHandler streamsHandler;

  CallDuties(
      InstanceSettings settings,
      DutyRegistry duties,
      HttpConnector connector,
      ConfigurationGate gate,
      MembershipEntryDirectory entries,
      InstanceMetrics metrics,
      Outlet<KeyCommand> keys) {
    this.gate = gate;
    this.entries = entries;
    targets = new TargetDirectory(metrics::countPreemptions);
    bridge = new CallBridge(admission, placement, streams, targets, this::workspaceShare);
    streamsHandler = createStreams(settings, connector, metrics, keys);
    streams.bind(duties.create("streams", streamsHandler));
    long seed = duties.clock().wallMs();
    placement.bind(duties.create("placement", createPlacement(seed)));
    AdmissionCounts counts = new AdmissionCounts();
    AdmissionHandler admissionHandler =
        new AdmissionHandler(
            AdmissionSettings.defaults(),
            new AdmissionOutlets(bridge::requestPlacement, bridge::startCall, bridge::callRefused),
            counts,
            seed);
    admission.bind(duties.create("admission", admissionHandler));
    for (RetryReason reason : RetryReason.values()) {
      metrics.addCounter(
          "caroblb.admission.retries",
          "Calls that admission placed again, by reason",
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
            bridge::attemptEnded,
            bridge::progressed),
        new StreamLimits(times.targetStallMs(), times.callerStallMs(), times.abandonMs()),
        new StreamMetricsObserver(metrics),
        () -> randomSuffix(random));
  }

  private static String randomSuffix(SecureRandom random) {
    byte[] bytes = new byte[GENERATION_SUFFIX_BYTES];
    random.nextBytes(bytes);
    return HexFormat.of().formatHex(bytes);
  }

  private PlacementHandler createPlacement(long seed) {
    Fleet fleet = new Fleet();
    return new PlacementHandler(
        fleet, PolicyKind.PREDICTIVE.create(fleet, seed), bridge::placementDecided);
  }

  /** The limit of a workspace holds for the whole system, so each entry admits its part of it. */
  private Optional<WorkspaceShare> workspaceShare(WorkspaceId workspace) {
    int entryCount = Math.max(1, entries.view().entries().size());
    return gate.snapshot()
        .workspace(workspace)
        .map(WorkspaceSettings::policy)
        .map(
            policy ->
                new WorkspaceShare(policy.share(), 1 + (policy.maxConcurrent() - 1) / entryCount));
  }

  CallBridge bridge() {
    return bridge;
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

  /** Number of dispatched calls and resumes that have not sent their final event. */
  int running() {
    return streamsHandler.running();
  }
}
