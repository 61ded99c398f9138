package dev.caroblb.agreement.journal;

import dev.caroblb.agreement.EntryKind;
import dev.caroblb.agreement.LogEntry;
import dev.caroblb.agreement.Member;
import dev.caroblb.agreement.RecoveredGroup;
import dev.caroblb.agreement.Snapshot;
import dev.caroblb.core.GroupId;
import dev.caroblb.core.InstanceId;
import dev.caroblb.core.Payload;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.Random;

/**
 * Model of a group: its expected state after each message, and a generator of valid random
 * messages.
 */
final class GroupModel {
  static final Member VOTER = new Member(new InstanceId("a1"), "0".repeat(32));

  private final GroupId group;
  private final List<RecoveredGroup> states = new ArrayList<>();
  private int synced;

  GroupModel(GroupId group) {
    this.group = group;
    states.add(RecoveredGroup.blank());
  }

  RecoveredGroup state() {
    return states.get(states.size() - 1);
  }

  /** States that are allowed after a crash: the last one reported as synced and all later ones. */
  List<RecoveredGroup> allowedAfterCrash() {
    return states.subList(synced, states.size());
  }

  /** States that are possible if at most the last message is lost. */
  List<RecoveredGroup> lastTwo() {
    return states.subList(Math.max(0, states.size() - 2), states.size());
  }

  void reportSynced(long sequence) {
    synced = (int) sequence;
  }

  /** Continues from the recovered state. */
  void restart(RecoveredGroup recovered) {
    states.clear();
    states.add(recovered);
    synced = 0;
  }

  JournalMessage next(Random random) {
    long sequence = states.size();
    int choice = random.nextInt(10);
    if (choice < 2) {
      Optional<Member> vote = random.nextBoolean() ? Optional.of(VOTER) : Optional.empty();
      return accept(
          new JournalMessage.SaveVote(group, sequence, state().term() + random.nextInt(3), vote));
    }
    if (choice < 4) {
      return accept(snapshot(random, sequence));
    }
    return accept(append(random, sequence));
  }

  JournalMessage append(Random random, long sequence) {
    long first = lastIndex() + 1;
    if (random.nextInt(3) == 0) {
      first = Math.max(1, first - random.nextInt(6));
    }
    List<LogEntry> entries = new ArrayList<>();
    int count = 1 + random.nextInt(4);
    for (int i = 0; i < count; i++) {
      byte[] bytes = new byte[random.nextInt(40)];
      random.nextBytes(bytes);
      EntryKind kind = EntryKind.values()[random.nextInt(EntryKind.values().length)];
      entries.add(new LogEntry(first + i, state().term(), kind, Payload.copyOf(bytes)));
    }
    return new JournalMessage.Append(group, sequence, entries);
  }

  private JournalMessage snapshot(Random random, long sequence) {
    boolean keep = random.nextInt(3) > 0;
    long span = lastIndex() - snapshotIndex() + (keep ? 1 : 5);
    long index = snapshotIndex() + random.nextInt((int) span);
    Snapshot snapshot =
        new Snapshot(
            index, state().term(), List.of(VOTER), Payload.ofText("state " + random.nextInt()));
    return new JournalMessage.SaveSnapshot(group, sequence, snapshot, keep);
  }

  private JournalMessage accept(JournalMessage message) {
    states.add(after(message));
    return message;
  }

  private RecoveredGroup after(JournalMessage message) {
    RecoveredGroup before = state();
    List<LogEntry> entries = new ArrayList<>(before.entries());
    if (message instanceof JournalMessage.SaveVote vote) {
      return new RecoveredGroup(vote.term(), vote.votedFor(), before.snapshot(), entries);
    }
    if (message instanceof JournalMessage.Append append) {
      long first = append.entries().get(0).index();
      entries.removeIf(entry -> entry.index() >= first);
      append.entries().stream()
          .filter(entry -> entry.index() > snapshotIndex())
          .forEach(entries::add);
      return new RecoveredGroup(before.term(), before.votedFor(), before.snapshot(), entries);
    }
    JournalMessage.SaveSnapshot save = (JournalMessage.SaveSnapshot) message;
    entries.removeIf(
        entry -> !save.keepLaterEntries() || entry.index() <= save.snapshot().lastIndex());
    return new RecoveredGroup(
        before.term(), before.votedFor(), Optional.of(save.snapshot()), entries);
  }

  private long snapshotIndex() {
    return state().snapshot().map(Snapshot::lastIndex).orElse(0L);
  }

  private long lastIndex() {
    return snapshotIndex() + state().entries().size();
  }
}
