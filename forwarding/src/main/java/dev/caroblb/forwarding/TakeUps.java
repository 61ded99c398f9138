package dev.caroblb.forwarding;

import dev.caroblb.core.InstanceId;
import dev.caroblb.core.LogLine;
import dev.caroblb.core.Outlet;
import dev.caroblb.core.PeerEnvelope;
import dev.caroblb.core.RefusalReason;
import dev.caroblb.core.SoftwareVersion;
import dev.caroblb.resumption.BegunStreams;
import dev.caroblb.resumption.OriginClient;
import dev.caroblb.resumption.PeerMessage;
import dev.caroblb.resumption.StreamOrigin;
import dev.caroblb.targets.TargetPool;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;

/**
 * Streams that callers take up, at any entry. They go on only at the service and the software
 * version that began them; if these are not known, or no target has them, they are refused at once.
 */
final class TakeUps {
  private static final System.Logger LOGGER = System.getLogger(TakeUps.class.getName());

  /** Calls that wait for the version of their stream. */
  private record Waiting(Set<Long> calls, long untilMs) {}

  private final ExchangeTable exchanges;
  private final TargetPool pool;
  private final CallFinisher finisher;
  private final OriginClient origins;

  /** The waiting calls by the attempt that began their stream, in the order of their time. */
  private final Map<String, Waiting> waiting = new LinkedHashMap<>();

  TakeUps(
      ExchangeTable exchanges,
      TargetPool pool,
      CallFinisher finisher,
      Outlet<PeerEnvelope<PeerMessage>> peers) {
    this.exchanges = exchanges;
    this.pool = pool;
    this.finisher = finisher;
    origins = new OriginClient(peers);
  }

  void setControlInstances(List<InstanceId> instances) {
    origins.setControlInstances(instances);
  }

  /** Records the version that begins a stream, before its caller gets the first event. */
  void eventReceived(Exchange exchange, long nowMs) {
    if (exchange.streamVersion().isPresent() || exchange.target().isEmpty()) {
      return;
    }
    SoftwareVersion version = exchange.target().get().info().softwareVersion();
    exchange.setStreamVersion(version);
    if (exchange.route().resumable()) {
      StreamOrigin origin = new StreamOrigin(exchange.service(), version);
      origins.began(exchange.call().requestId(), origin, callerWaitsMs(exchange, nowMs), nowMs);
    }
  }

  /** Time left to the caller, which may be more than the timeout of the route leaves. */
  private static long callerWaitsMs(Exchange exchange, long nowMs) {
    long patienceMs = exchange.call().timeoutMs().orElse(BegunStreams.MAX_KEEP_MS);
    return exchange.arrivedMs() + patienceMs - nowMs;
  }

  /** Whether a request may be sent now; a stream without a known version waits or is refused. */
  boolean ready(Exchange exchange, long nowMs) {
    Optional<StreamTakeUp> takeUp = exchange.call().takeUp();
    if (takeUp.isEmpty() || exchange.streamVersion().isPresent()) {
      return true;
    }
    Optional<String> attempt = takeUp.get().firstAttempt();
    if (attempt.isEmpty()) {
      refuse(exchange, "the request does not name the attempt that began the stream", nowMs);
      return false;
    }
    expire(nowMs);
    OriginClient.Finding finding = origins.findOrAsk(attempt.get(), nowMs);
    if (finding instanceof OriginClient.Finding.Asked) {
      long untilMs = nowMs + OriginClient.REPLY_TIMEOUT_MS;
      waiting
          .computeIfAbsent(attempt.get(), each -> new Waiting(new HashSet<>(), untilMs))
          .calls()
          .add(exchange.call().id());
      exchanges.wakeAt(exchange, untilMs);
      return false;
    }
    return mayContinue(exchange, finding, nowMs);
  }

  /** Processes a message of a control instance; returns the requests that may be sent now. */
  List<Exchange> received(InstanceId peer, PeerMessage message, long nowMs) {
    if (message instanceof PeerMessage.OriginReply reply) {
      return replied(reply, nowMs);
    }
    if (message instanceof PeerMessage.RecordsRequest request) {
      origins.recordsRequested(peer, request, nowMs);
    }
    return List.of();
  }

  private List<Exchange> replied(PeerMessage.OriginReply reply, long nowMs) {
    Optional<OriginClient.Finding> finding = origins.replied(reply);
    List<Exchange> ready = new ArrayList<>();
    if (finding.isEmpty()) {
      return ready;
    }
    Optional<Waiting> calls = Optional.ofNullable(waiting.remove(reply.attempt()));
    for (long call : calls.map(Waiting::calls).orElse(Set.of())) {
      exchanges
          .find(call)
          .filter(exchange -> mayContinue(exchange, finding.get(), nowMs))
          .ifPresent(ready::add);
    }
    return ready;
  }

  /** Ends a request that still waits for the version of its stream; returns whether it did. */
  boolean timedOut(Exchange exchange, long nowMs) {
    Optional<String> attempt = exchange.call().takeUp().flatMap(StreamTakeUp::firstAttempt);
    if (attempt.isEmpty() || exchange.streamVersion().isPresent()) {
      return false;
    }
    refuse(exchange, "the control instances did not reply in time", nowMs);
    return true;
  }

  /** Forgets the queries whose time is over; their requests may have ended before. */
  private void expire(long nowMs) {
    for (Iterator<Map.Entry<String, Waiting>> all = waiting.entrySet().iterator();
        all.hasNext(); ) {
      Map.Entry<String, Waiting> oldest = all.next();
      if (nowMs <= oldest.getValue().untilMs()) {
        return;
      }
      origins.cancel(oldest.getKey());
      all.remove();
    }
  }

  private boolean mayContinue(Exchange exchange, OriginClient.Finding finding, long nowMs) {
    if (!(finding instanceof OriginClient.Finding.Known known)) {
      refuse(
          exchange, "no control instance knows the software version that began the stream", nowMs);
      return false;
    }
    StreamOrigin origin = known.origin();
    if (!exchange.route().leadsTo(origin.service())) {
      refuse(exchange, "the route no longer leads to the service that began the stream", nowMs);
      return false;
    }
    exchange.setOrigin(origin);
    LOGGER.log(
        System.Logger.Level.INFO,
        LogLine.of("forwarding.taken_up")
            .with("request", exchange.call().requestId())
            .with("version", origin.version())
            .toString());
    if (pool.serves(origin.service(), origin.version())) {
      return true;
    }
    refuse(exchange, "no target has the software version that began the stream", nowMs);
    return false;
  }

  private void refuse(Exchange exchange, String cause, long nowMs) {
    finisher.fail(exchange, RefusalReason.NOT_RESUMABLE, cause, nowMs);
  }
}
