package dev.caroblb.callers;

import dev.caroblb.core.MillisClock;
import dev.caroblb.core.Refusal;
import dev.caroblb.core.RefusalReason;
import dev.caroblb.http.HttpLimits;
import dev.caroblb.http.HttpListener;
import dev.caroblb.http.IncomingRequest;
import dev.caroblb.http.Reply;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.util.Arrays;
import java.util.List;

/** HTTP front end of an instance. */
public final class CallersServer implements AutoCloseable {
  private static final int NOT_FOUND = 404;

  /** Bounds the wait for a caller that does not read the rest of its response. */
  private static final long WRITE_TIMEOUT_MS = 2_000;

  private final List<Route> routes;
  private final CallerConnections connections;
  private final RefusalCounter refusals;
  private final HttpListener listener;

  private CallersServer(
      InstanceServices services, Limits limits, InetSocketAddress address, MillisClock clock)
      throws IOException {
    refusals = services.refusals();
    connections = new CallerConnections(limits.maxStreams(), services.calls(), refusals);
    CallSubmitter submitter =
        new CallSubmitter(services.gate(), services.calls(), connections, refusals, clock);
    routes =
        List.of(
            new CallRoute(submitter),
            new ResumeRoute(submitter),
            new TargetRoute(
                limits.targetTokenSha256(), services.targets(), services.directory(), refusals),
            new EntriesRoute(services.directory()),
            new StatusRoute(services.status()),
            new PublishRoute(limits.operatorTokenSha256(), services.publishes(), refusals),
            new EvacuationRoute(limits.operatorTokenSha256(), services.evacuations(), refusals));
    listener =
        HttpListener.start(
            address,
            limits.http(),
            this::handle,
            status -> refusals.refused(refusalReason(status)));
  }

  /** Starts listening. */
  public static CallersServer start(
      InstanceServices services, Limits limits, InetSocketAddress address, MillisClock clock)
      throws IOException {
    return new CallersServer(services, limits, address, clock);
  }

  /** Services of the instance that the front end uses. */
  public record InstanceServices(
      AdmissionGate gate,
      CallSink calls,
      PublishSink publishes,
      TargetSink targets,
      EntryDirectory directory,
      StatusSource status,
      RefusalCounter refusals,
      EvacuationSink evacuations) {}

  /** Limits and credentials of the front end. */
  public record Limits(
      HttpLimits http, int maxStreams, String operatorTokenSha256, String targetTokenSha256) {}

  private static RefusalReason refusalReason(int status) {
    return switch (status) {
      case 413 -> RefusalReason.BODY_TOO_LARGE;
      case 500 -> RefusalReason.INTERNAL;
      default -> RefusalReason.MALFORMED;
    };
  }

  private void handle(IncomingRequest request, Reply reply) {
    List<String> path = Arrays.asList(request.path().replaceFirst("^/", "").split("/", -1));
    for (Route route : routes) {
      if (route.matches(request.method(), path)) {
        route.handle(request, path, reply);
        return;
      }
    }
    refusals.refused(RefusalReason.MALFORMED);
    Responses.json(
        reply,
        NOT_FOUND,
        Responses.refusalBody(
            Refusal.of(RefusalReason.MALFORMED, "there is no such resource or method")));
  }

  public InetSocketAddress address() {
    return listener.address();
  }

  /** Number of calls whose response is not complete. */
  public int openCalls() {
    return connections.open();
  }

  /**
   * Closes the listener and its connections. Responses that are complete here are written first: a
   * call no longer counts as open once its response is queued on the connection.
   */
  @Override
  public void close() {
    listener.closeGracefully(WRITE_TIMEOUT_MS);
  }
}
