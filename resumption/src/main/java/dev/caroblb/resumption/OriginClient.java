package dev.caroblb.resumption;

import dev.caroblb.core.InstanceId;
import dev.caroblb.core.Outlet;
import dev.caroblb.core.PeerEnvelope;
import java.nio.charset.StandardCharsets;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;

/** Records the streams of an entry at control instances, and asks them for those of others. */
public final class OriginClient {
  /** Time in milliseconds to wait for replies; a reply takes some tens from a busy instance. */
  public static final long REPLY_TIMEOUT_MS = 250;

  /** What is known of the origin of a stream. */
  public sealed interface Finding {
    /** The origin is known here. */
    record Known(StreamOrigin origin) implements Finding {}

    /** Control instances were asked. */
    record Asked() implements Finding {}

    /** Nobody can know. */
    record Unknown() implements Finding {}
  }

  private final Outlet<PeerEnvelope<PeerMessage>> peers;
  private final BegunStreams own = new BegunStreams();

  /** Number of replies that are due, by attempt. */
  private final Map<String, Integer> queries = new HashMap<>();

  private List<InstanceId> controlInstances = List.of();

  /**
   * @param peers the resumption handlers of control instances
   */
  public OriginClient(Outlet<PeerEnvelope<PeerMessage>> peers) {
    this.peers = peers;
  }

  public void setControlInstances(List<InstanceId> instances) {
    controlInstances = instances;
  }

  /** Records that the caller of an attempt is about to get its first event. */
  public void began(String attempt, StreamOrigin origin, long keepMs, long nowMs) {
    if (!recordable(attempt, origin)) {
      return;
    }
    boolean unused = own.began(attempt, origin, keepMs, nowMs);
    send(attempt, new PeerMessage.StreamBegan(attempt, origin, keepMs));
  }

  /**
   * Sends the records that a control instance asks for, since it has started or is a new holder.
   */
  public void recordsRequested(InstanceId peer, PeerMessage.RecordsRequest request, long nowMs) {
    PeerMessage page =
        own.page(
            request.after(),
            attempt -> RecordHolders.holds(peer, attempt, controlInstances),
            nowMs);
    boolean unused = peers.offer(new PeerEnvelope<>(peer, page));
  }

  /** Finds what began the stream of an attempt, or asks for it. */
  public Finding findOrAsk(String attempt, long nowMs) {
    Optional<StreamOrigin> known = own.origin(attempt, nowMs);
    if (known.isPresent()) {
      return new Finding.Known(known.get());
    }
    int holders = RecordHolders.of(attempt, controlInstances).size();
    if (holders == 0 || !recordable(attempt)) {
      return new Finding.Unknown();
    }
    queries.put(attempt, holders);
    send(attempt, new PeerMessage.OriginQuery(attempt));
    return new Finding.Asked();
  }

  /** Processes a reply. Returns what is known now; empty while another reply may name it. */
  public Optional<Finding> replied(PeerMessage.OriginReply reply) {
    Integer due = queries.get(reply.attempt());
    if (due == null) {
      return Optional.empty();
    }
    if (reply.origin().isEmpty() && due > 1) {
      queries.put(reply.attempt(), due - 1);
      return Optional.empty();
    }
    queries.remove(reply.attempt());
    return Optional.of(
        reply.origin().<Finding>map(Finding.Known::new).orElseGet(Finding.Unknown::new));
  }

  /** Forgets a query whose request has ended or waits no more. */
  public void cancel(String attempt) {
    queries.remove(attempt);
  }

  private static boolean recordable(String attempt, StreamOrigin origin) {
    return recordable(attempt) && bytes(origin.service()) <= StreamOrigin.MAX_SERVICE_BYTES;
  }

  private static boolean recordable(String attempt) {
    return bytes(attempt) <= PeerMessage.MAX_ATTEMPT_BYTES;
  }

  private static int bytes(String text) {
    return text.getBytes(StandardCharsets.UTF_8).length;
  }

  private void send(String attempt, PeerMessage message) {
    for (InstanceId holder : RecordHolders.of(attempt, controlInstances)) {
      boolean unused = peers.offer(new PeerEnvelope<>(holder, message));
    }
  }
}
