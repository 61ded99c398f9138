package dev.caroblb.streams;

import dev.caroblb.core.LogLine;
import dev.caroblb.core.RefusalReason;
import java.util.ArrayDeque;

/** State shared by the running calls: links, outlets, limits and measurements. */
final class StreamScope {
  private static final System.Logger LOGGER = System.getLogger(StreamScope.class.getName());

  private final Links links = new Links();
  private final ArrayDeque<CallOutcome> pendingOutcomes = new ArrayDeque<>();
  private final StreamOutlets outlets;
  private final StreamLimits limits;
  private final StreamObserver observer;

  StreamScope(StreamOutlets outlets, StreamLimits limits, StreamObserver observer) {
    this.outlets = outlets;
    this.limits = limits;
    this.observer = observer;
  }

  Links links() {
    return links;
  }

  StreamLimits limits() {
    return limits;
  }

  StreamObserver observer() {
    return observer;
  }

  /** Sends a command to the engine adapter, which has no ring that could be full. */
  void send(EngineCommand command) {
    outlets.engines().offer(command);
  }

  boolean send(KeyCommand command) {
    return outlets.keys().offer(command);
  }

  /** Reports an outcome, kept until accepted, since admission frees the slot of the call by it. */
  void report(CallOutcome outcome) {
    pendingOutcomes.addLast(outcome);
    retryReports();
  }

  /** Offers the pending outcomes again; there is at most one for each call. */
  void retryReports() {
    while (!pendingOutcomes.isEmpty() && outlets.outcomes().offer(pendingOutcomes.peekFirst())) {
      pendingOutcomes.removeFirst();
    }
  }

  /** Reports progress to placement, best effort; the next report replaces a lost one. */
  void progress(long call, long tokens) {
    outlets.progress().offer(new CallProgress(call, tokens));
  }

  void log(String event, long call, Endpoint endpoint, RefusalReason reason, String cause) {
    LOGGER.log(
        System.Logger.Level.INFO,
        LogLine.of(event)
            .with("call", call)
            .with("target", endpoint.target())
            .with("reason", reason.wireName())
            .with("cause", cause)
            .toString());
  }
}
