package dev.caroblb.agreement;

import dev.caroblb.agreement.journal.JournalEvent;
import dev.caroblb.agreement.journal.JournalMessage;
import dev.caroblb.core.GroupId;
import dev.caroblb.core.Outlet;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.NavigableMap;
import java.util.Optional;
import java.util.Random;
import java.util.TreeMap;

/** In-memory data folder. Only synced messages are guaranteed to survive a crash. */
final class SimulatedDisk implements Outlet<JournalMessage> {
  private final Map<GroupId, Stored> groups = new HashMap<>();
  private final Deque<JournalMessage> unsynced = new ArrayDeque<>();
  private final String incarnation;
  private boolean full;

  SimulatedDisk(String incarnation) {
    this.incarnation = incarnation;
  }

  String incarnation() {
    return incarnation;
  }

  @Override
  public boolean offer(JournalMessage message) {
    unsynced.add(message);
    return true;
  }

  /** Makes the disk refuse writes, or gives it space again. */
  void setFull(boolean isFull) {
    full = isFull;
  }

  boolean full() {
    return full;
  }

  boolean hasUnsynced() {
    return !unsynced.isEmpty();
  }

  /** Syncs all pending messages and returns one event per group. */
  List<JournalEvent> sync() {
    Map<GroupId, Long> sequences = new HashMap<>();
    while (!unsynced.isEmpty()) {
      JournalMessage message = unsynced.remove();
      store(message);
      sequences.put(message.group(), message.sequence());
    }
    List<JournalEvent> events = new ArrayList<>();
    sequences.forEach((group, sequence) -> events.add(new JournalEvent.Synced(group, sequence)));
    return events;
  }

  /** Simulates a crash, which keeps a random prefix of the unsynced messages. */
  void crash(Random random) {
    int survivors = random.nextInt(unsynced.size() + 1);
    for (int i = 0; i < survivors; i++) {
      store(unsynced.remove());
    }
    unsynced.clear();
  }

  Map<GroupId, RecoveredGroup> recover() {
    Map<GroupId, RecoveredGroup> recovered = new HashMap<>();
    groups.forEach((group, stored) -> recovered.put(group, stored.recovered()));
    return recovered;
  }

  /** Whether the disk stores an entry of the group, or a snapshot that includes one. */
  boolean holdsEntries(GroupId group) {
    Stored stored = groups.get(group);
    return stored != null
        && (!stored.entries.isEmpty()
            || stored.snapshot.filter(snapshot -> snapshot.lastIndex() > 0).isPresent());
  }

  private void store(JournalMessage message) {
    Stored stored = groups.computeIfAbsent(message.group(), key -> new Stored());
    if (message instanceof JournalMessage.Append append) {
      stored.entries.tailMap(append.entries().get(0).index(), true).clear();
      for (LogEntry entry : append.entries()) {
        stored.entries.put(entry.index(), entry);
      }
    } else if (message instanceof JournalMessage.SaveVote vote) {
      stored.term = vote.term();
      stored.votedFor = vote.votedFor();
    } else if (message instanceof JournalMessage.SaveSnapshot save) {
      stored.snapshot = Optional.of(save.snapshot());
      stored.entries.headMap(save.snapshot().lastIndex(), true).clear();
      if (!save.keepLaterEntries()) {
        stored.entries.clear();
      }
    }
  }

  private static final class Stored {
    private final NavigableMap<Long, LogEntry> entries = new TreeMap<>();
    private long term;
    private Optional<Member> votedFor = Optional.empty();
    private Optional<Snapshot> snapshot = Optional.empty();

    RecoveredGroup recovered() {
      return new RecoveredGroup(term, votedFor, snapshot, List.copyOf(entries.values()));
    }
  }
}
