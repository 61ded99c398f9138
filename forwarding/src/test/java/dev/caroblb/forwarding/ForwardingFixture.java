package dev.caroblb.forwarding;

import dev.caroblb.core.FailureDomain;
import dev.caroblb.core.InstanceId;
import dev.caroblb.core.Payload;
import dev.caroblb.core.PeerEnvelope;
import dev.caroblb.core.RefusalReason;
import dev.caroblb.core.RetryReason;
import dev.caroblb.core.TargetId;
import dev.caroblb.core.TargetRun;
import dev.caroblb.routing.CallerLimits;
import dev.caroblb.routing.EngineLimits;
import dev.caroblb.routing.RepeatRule;
import dev.caroblb.routing.Route;
import dev.caroblb.routing.RoutingTable;
import dev.caroblb.routing.Service;
import dev.caroblb.routing.WarmUp;
import dev.caroblb.routing.WeightedService;
import dev.caroblb.routing.Workspace;
import dev.caroblb.scheduling.PeerMessage;
import dev.caroblb.targets.TargetInfo;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Random;

/** A forwarding handler with a recording target port and a recording caller. */
abstract class ForwardingFixture {
  static final FailureDomain ZONE = new FailureDomain("zone-a");
  static final long MAX_RESPONSE_BYTES = 6 << 20;
  static final String FIRST_EVENT = "id: 1\ndata: a\n\n";
  static final String SECOND_EVENT = "id: 2\ndata: b\n\n";

  final RecordingTargets targets = new RecordingTargets();
  final RecordingCaller caller = new RecordingCaller();
  final List<RetryReason> retries = new ArrayList<>();
  final List<PeerEnvelope<PeerMessage>> toPeers = new ArrayList<>();
  final List<PeerEnvelope<dev.caroblb.pacing.PeerMessage>> toPacing = new ArrayList<>();
  final List<PeerEnvelope<dev.caroblb.forwarding.PeerMessage>> toEvidence = new ArrayList<>();
  final List<PeerEnvelope<dev.caroblb.resumption.PeerMessage>> toResumption = new ArrayList<>();
  final List<TargetRun> leaving = new ArrayList<>();
  final ForwardingHandler handler =
      new ForwardingHandler(
          new ForwardingSettings(
              new InstanceId("entry"), ZONE, 10, MAX_RESPONSE_BYTES, 0.2, 10_000, 320),
          targets,
          new ForwardingOutlets(
              toPeers::add, toPacing::add, toEvidence::add, toResumption::add, leaving::add),
          new RecordingObserver(),
          new Random(1));
  long nowMs = 1_000;
  long bytesFromOtherDomains;

  final class RecordingObserver implements CallObserver {
    @Override
    public void refused(RefusalReason reason) {}

    @Override
    public void retried(RetryReason reason) {
      retries.add(reason);
    }

    @Override
    public void responded(long elapsedMs) {}

    @Override
    public void partGap(long gapMs) {}

    @Override
    public void receivedFromOtherDomain(long bytes) {
      bytesFromOtherDomains += bytes;
    }
  }

  static Route route(String prefix, RepeatRule repeat, int attempts, boolean resumable) {
    return new Route(
        "r" + prefix.replace("/", ""),
        "host",
        prefix,
        repeat,
        5_000,
        800,
        1,
        List.of(new WeightedService("service", 1)),
        attempts,
        prefix.equals("/open/"),
        false,
        resumable,
        180);
  }

  static RoutingTable table() {
    return table(Optional.empty());
  }

  static RoutingTable table(Optional<WarmUp> warmUp) {
    return new RoutingTable(
        3,
        List.of(
            route("/safe/", RepeatRule.REPEATABLE, 2, false),
            route("/once/", RepeatRule.ONCE, 1, false),
            route("/long/", RepeatRule.STREAM, 1, false),
            route("/short/", RepeatRule.STREAM, 2, true),
            route("/open/", RepeatRule.REPEATABLE, 1, false)),
        Map.of(
            "service",
            new Service(
                "service", 100, Optional.of(new EngineLimits(24, 34_000, true, true, 4)), warmUp)),
        new CallerLimits(1, 1, 1, 1),
        Optional.of(Map.of("key", new Workspace("farm", Optional.empty()))));
  }

  /** An exchange without a handler, on a route whose requests may run once. */
  static Exchange exchange(long id, Optional<GenerationSize> size) {
    ForwardCall call =
        new ForwardCall(
            id,
            "id",
            "host",
            "/",
            Optional.empty(),
            Optional.empty(),
            size,
            List.of(),
            new RecordingCaller());
    return new Exchange(
        call, table().match("host", "/long/x").orElseThrow(), "service", Optional.empty(), 1, 0);
  }

  void handle(ForwardingMessage message) {
    handler.handle(message, nowMs);
  }

  void install(int count) {
    handle(new ForwardingMessage.TableInstalled(table()));
    for (int i = 0; i < count; i++) {
      available(i);
    }
  }

  void available(int index) {
    handle(
        new ForwardingMessage.TargetAvailable(
            new TargetInfo(
                new TargetId("t" + index), 1, "service", "10.0.0." + index + ":80", ZONE)));
  }

  void arrive(String path) {
    arrive(path, Optional.of("key"));
  }

  void arrive(String path, Optional<String> key) {
    arrive(path, key, Optional.empty());
  }

  /** Lets a generation with the given number of expected output tokens arrive. */
  void arriveGeneration(String path, long outputTokens) {
    arrive(
        path,
        Optional.of("key"),
        Optional.of(new GenerationSize(3_000, 2 * outputTokens, Optional.of(outputTokens))));
  }

  private void arrive(String path, Optional<String> key, Optional<GenerationSize> size) {
    handle(
        new ForwardingMessage.RequestArrived(
            new ForwardCall(
                7, "id-7", "host", path, Optional.of(4_000L), key, size, List.of(), caller)));
  }

  static ResponseHead head(int status, boolean stream) {
    return new ResponseHead(status, false, true, stream, new ResponseFields() {});
  }

  int attempt() {
    return targets.last().attempt();
  }

  void respond(int status, String body) {
    int attempt = attempt();
    handle(new ForwardingMessage.Head(7, attempt, head(status, false)));
    handle(new ForwardingMessage.Body(7, attempt, Payload.ofText(body)));
    handle(new ForwardingMessage.Ended(7, attempt));
  }

  void refuseByTarget() {
    handle(
        new ForwardingMessage.Head(
            7, attempt(), new ResponseHead(503, true, true, false, new ResponseFields() {})));
  }

  /** Refuses the current attempt as not run; the target wants no requests for some time. */
  void rejectFor(long ms) {
    respondWithNotice(new TargetNotice(false, Optional.of(ms)));
  }

  /** Refuses the current attempt as not run, because the target leaves. */
  void refuseAsLeaving() {
    respondWithNotice(new TargetNotice(true, Optional.empty()));
  }

  private void respondWithNotice(TargetNotice notice) {
    handle(
        new ForwardingMessage.Head(
            7,
            attempt(),
            new ResponseHead(503, true, true, false, notice, new ResponseFields() {})));
  }

  void startStream() {
    handle(new ForwardingMessage.Head(7, attempt(), head(200, true)));
    handle(new ForwardingMessage.Body(7, attempt(), Payload.ofText(FIRST_EVENT + "id: 2\nda")));
  }

  void loseTarget() {
    handle(new ForwardingMessage.Failed(7, attempt(), true, "reset"));
  }

  /** Tickets of the placement requests among sent messages. */
  static List<Long> tickets(List<PeerEnvelope<PeerMessage>> sent) {
    return sent.stream()
        .map(PeerEnvelope::message)
        .filter(PeerMessage.PlacementRequest.class::isInstance)
        .map(message -> ((PeerMessage.PlacementRequest) message).ticket())
        .toList();
  }

  /** Ticket of the first placement request that was sent. */
  long firstTicket() {
    return tickets(toPeers).get(0);
  }

  /** Reports the result of an order to the current engine to stop its generation. */
  void stopEnded(MoveOutcome outcome) {
    handle(new ForwardingMessage.CopyEnded(7, attempt(), true, outcome));
  }

  /** Lets the process of the current engine end: it resets its connections and refuses new ones. */
  void crashEngine() {
    loseTarget();
    stopEnded(new MoveOutcome.SourceEnded("refused"));
  }

  String lastEvent() {
    return caller.events.get(caller.events.size() - 1);
  }
}
