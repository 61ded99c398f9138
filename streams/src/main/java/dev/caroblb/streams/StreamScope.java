package dev.caroblb.streams;

import dev.caroblb.core.LogLine;
import dev.caroblb.core.RefusalReason;

/** What running calls share: links, outlets, limits, measurements. */
final class StreamScope {
  private static final System.Logger LOGGER = System.getLogger(StreamScope.class.getName());

  private final Links links = new Links();
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

  /** The engine adapter takes every command at once; it has no ring that could be full. */
  void send(EngineCommand command) {
    outlets.engines().offer(command);
  }

  boolean send(KeyCommand command) {
    return outlets.keys().offer(command);
  }

  void report(CallOutcome outcome) {
    outlets.outcomes().offer(outcome);
  }

  /** Only a hint for placement; the next one replaces a lost one. */
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
