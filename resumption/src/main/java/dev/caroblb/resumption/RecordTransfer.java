package dev.caroblb.resumption;

import dev.caroblb.core.InstanceId;
import dev.caroblb.core.LogLine;
import dev.caroblb.core.Outlet;
import dev.caroblb.core.PeerEnvelope;
import java.util.HashMap;
import java.util.HashSet;
import java.util.Map;
import java.util.Optional;
import java.util.Set;

/**
 * Gets the records of streams that began before this process did, or before it became their holder,
 * from the entries that relay them. Asks each entry for one page at a time.
 */
final class RecordTransfer {
  private static final System.Logger LOGGER = System.getLogger(RecordTransfer.class.getName());

  /** Interval between two pages of an entry; with full pages some 50 KB/s. */
  private static final long PAGE_INTERVAL_MS = 100;

  /** Time after which an entry that has not replied is asked again. */
  private static final long RETRY_MS = 1_000;

  /** Maximum number of requests in one interval; with full pages some 1.6 MB/s. */
  private static final int MAX_REQUESTS = 32;

  /** Progress with one entry. */
  private static final class Progress {
    private long after;
    private long askAtMs = Long.MIN_VALUE;
  }

  private final Outlet<PeerEnvelope<PeerMessage>> peers;
  private final Map<InstanceId, Progress> pending = new HashMap<>();
  private Set<InstanceId> entries = Set.of();
  private Set<InstanceId> controlInstances = Set.of();
  private Optional<Long> startedMs = Optional.empty();
  private int received;
  private long nextTickMs = Long.MAX_VALUE;

  RecordTransfer(Outlet<PeerEnvelope<PeerMessage>> peers) {
    this.peers = peers;
  }

  /**
   * Asks new entries, and all of them if this instance may have become a holder of more records.
   */
  void instancesChanged(ResumptionMessage.InstancesChanged changed, long nowMs) {
    boolean holdersMove =
        !changed.controlInstances().equals(controlInstances)
            && changed.controlInstances().size() >= RecordHolders.HOLDERS;
    Set<InstanceId> asked = new HashSet<>(changed.entries());
    if (!holdersMove) {
      asked.removeAll(entries);
    }
    entries = changed.entries();
    controlInstances = changed.controlInstances();
    pending.keySet().retainAll(entries);
    asked.forEach(entry -> pending.put(entry, new Progress()));
    if (!pending.isEmpty()) {
      startedMs = Optional.of(startedMs.orElse(nowMs));
      nextTickMs = Math.min(nextTickMs, nowMs);
    }
  }

  /** Processes a page that was not received before. */
  void received(InstanceId entry, PeerMessage.RecordsPage page, long nowMs) {
    Progress progress = pending.get(entry);
    if (progress == null || progress.after != page.after()) {
      return;
    }
    received += page.records().size();
    if (!page.last()) {
      progress.after = page.next();
      progress.askAtMs = nowMs + PAGE_INTERVAL_MS;
      nextTickMs = Math.min(nextTickMs, progress.askAtMs);
      return;
    }
    pending.remove(entry);
    if (pending.isEmpty()) {
      end("resumption.caught_up", nowMs);
    }
  }

  void tick(long nowMs) {
    if (nowMs < nextTickMs) {
      return;
    }
    if (nowMs >= startedMs.orElse(nowMs) + BegunStreams.MAX_KEEP_MS) {
      // Streams from before the start have ended by now.
      end("resumption.gave_up", nowMs);
      return;
    }
    int requests = 0;
    for (Map.Entry<InstanceId, Progress> entry : pending.entrySet()) {
      Progress progress = entry.getValue();
      if (requests == MAX_REQUESTS) {
        break;
      }
      if (nowMs < progress.askAtMs) {
        continue;
      }
      PeerMessage request = new PeerMessage.RecordsRequest(progress.after);
      boolean unused = peers.offer(new PeerEnvelope<>(entry.getKey(), request));
      progress.askAtMs = nowMs + RETRY_MS;
      requests++;
    }
    nextTickMs = pending.isEmpty() ? Long.MAX_VALUE : nowMs + PAGE_INTERVAL_MS;
  }

  private void end(String event, long nowMs) {
    LOGGER.log(
        System.Logger.Level.INFO,
        LogLine.of(event)
            .with("records", received)
            .with("missing_entries", pending.size())
            .with("elapsed_ms", nowMs - startedMs.orElse(nowMs))
            .toString());
    pending.clear();
    startedMs = Optional.empty();
    received = 0;
    nextTickMs = Long.MAX_VALUE;
  }

  long nextTickMs() {
    return nextTickMs;
  }
}
