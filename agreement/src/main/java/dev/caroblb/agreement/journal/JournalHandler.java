package dev.caroblb.agreement.journal;

import dev.caroblb.core.DutyHandler;
import dev.caroblb.core.GroupId;
import dev.caroblb.core.LogLine;
import dev.caroblb.core.Outlet;
import java.io.IOException;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.Optional;

/**
 * Writes each message, and syncs once per batch and group. After the first failure nothing more is
 * written, because it is unknown which data of a failed write or sync reached the disk and which
 * the kernel still holds.
 */
public final class JournalHandler implements DutyHandler<JournalMessage> {
  private static final System.Logger LOGGER = System.getLogger(JournalHandler.class.getName());

  /** Delay before an event that a full ring refused is offered again. */
  private static final long RETRY_MS = 5;

  private final Map<GroupId, GroupLog> logs;
  private final Outlet<JournalEvent> events;
  private final Map<GroupId, Long> written = new LinkedHashMap<>();
  private final Map<GroupId, Long> synced = new LinkedHashMap<>();
  private Optional<JournalEvent> failure = Optional.empty();
  private boolean failureDelivered;
  private long nextTickMs = Long.MAX_VALUE;

  public JournalHandler(DataFolder folder, Outlet<JournalEvent> events) {
    this.logs = folder.logs();
    this.events = events;
  }

  @Override
  public void handle(JournalMessage message, long nowMs) {
    if (failure.isPresent()) {
      return;
    }
    GroupLog log = logs.get(message.group());
    if (log == null) {
      fail("unknown group " + message.group(), "correct key_groups in the settings");
      return;
    }
    try {
      write(log, message);
      written.put(message.group(), message.sequence());
    } catch (IOException | RuntimeException e) {
      fail("write of " + log.activeFile() + " failed: " + e, JournalError.Kind.ACCESS.remedy());
    }
  }

  private static void write(GroupLog log, JournalMessage message) throws IOException {
    if (message instanceof JournalMessage.Append append) {
      log.append(append.entries());
    } else if (message instanceof JournalMessage.SaveVote vote) {
      log.saveVote(vote.term(), vote.votedFor());
    } else if (message instanceof JournalMessage.SaveSnapshot save) {
      log.saveSnapshot(save.snapshot(), save.keepLaterEntries());
    }
  }

  @Override
  public void batchEnd(long nowMs) {
    for (Map.Entry<GroupId, Long> group : written.entrySet()) {
      if (failure.isPresent()) {
        break;
      }
      sync(group.getKey(), group.getValue());
    }
    written.clear();
    deliver(nowMs);
  }

  private void sync(GroupId group, long sequence) {
    GroupLog log = logs.get(group);
    try {
      log.sync();
      synced.put(group, sequence);
    } catch (IOException | RuntimeException e) {
      fail("sync of " + log.activeFile() + " failed: " + e, JournalError.Kind.ACCESS.remedy());
    }
  }

  private void fail(String cause, String remedy) {
    String message = cause + "; " + remedy;
    failure = Optional.of(new JournalEvent.Failed(message));
    LOGGER.log(
        System.Logger.Level.ERROR,
        LogLine.of("journal.failed").with("message", message).toString());
  }

  @Override
  public void tick(long nowMs) {
    deliver(nowMs);
  }

  /**
   * Offers events that were not delivered yet. Those that a full ring refuses are offered again at
   * the next tick.
   */
  private void deliver(long nowMs) {
    synced
        .entrySet()
        .removeIf(group -> events.offer(new JournalEvent.Synced(group.getKey(), group.getValue())));
    if (failure.isPresent() && !failureDelivered) {
      failureDelivered = events.offer(failure.get());
    }
    boolean waiting = !synced.isEmpty() || (failure.isPresent() && !failureDelivered);
    nextTickMs = waiting ? nowMs + RETRY_MS : Long.MAX_VALUE;
  }

  @Override
  public long nextTickMs() {
    return nextTickMs;
  }
}
