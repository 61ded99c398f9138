package dev.caroblb.membership;

import dev.caroblb.core.TargetId;
import java.util.ArrayList;
import java.util.Collection;
import java.util.Collections;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;

/**
 * Latest announcement of every target. Merging gives the same result in any order: the larger
 * incarnation wins, then the larger sequence, and leaving is final within an incarnation.
 */
final class TargetTable {
  /** Twelve thousand replicas and as many that were replaced within the time they are kept. */
  static final int MAX_TARGETS = 24_000;

  /** A record is kept after the target fell silent so that late messages cannot revive it. */
  static final long FORGET_AFTER_MS = 600_000;

  private static final long NONE = -1;

  private final Map<TargetId, TargetRecord> records = new HashMap<>();
  private long refused;

  /** Stores what is newer; returns whether anything changed. */
  boolean merge(TargetRecord offered) {
    TargetId target = offered.announcement().target();
    TargetRecord known = records.get(target);
    if (known == null) {
      return add(target, offered);
    }
    TargetRecord merged = join(known, offered);
    records.put(target, merged);
    return !merged.equals(known);
  }

  private boolean add(TargetId target, TargetRecord offered) {
    if (records.size() >= MAX_TARGETS) {
      refused++;
      return false;
    }
    records.put(target, offered);
    return true;
  }

  private static TargetRecord join(TargetRecord known, TargetRecord offered) {
    Announcement mine = known.announcement();
    Announcement other = offered.announcement();
    if (mine.incarnation() != other.incarnation()) {
      return mine.incarnation() > other.incarnation() ? known : offered;
    }
    if (mine.sequence() == other.sequence()) {
      return known.heardAgain(offered);
    }
    TargetRecord later = mine.sequence() > other.sequence() ? known : offered;
    return mine.leaving() || other.leaving() ? later.asLeaving() : later;
  }

  /** Marks a target that a digest says is leaving; returns whether anything changed. */
  boolean markLeaving(TargetSummary summary) {
    TargetRecord known = records.get(summary.target());
    if (known == null
        || !summary.leaving()
        || known.announcement().incarnation() != summary.incarnation()
        || known.announcement().leaving()) {
      return false;
    }
    records.put(summary.target(), known.asLeaving());
    return true;
  }

  Optional<TargetRecord> find(TargetId target) {
    return Optional.ofNullable(records.get(target));
  }

  Collection<TargetRecord> all() {
    return Collections.unmodifiableCollection(records.values());
  }

  /** Number of targets that were refused because the table was full. */
  long refused() {
    return refused;
  }

  List<TargetSummary> digest() {
    List<TargetSummary> digest = new ArrayList<>(records.size());
    for (TargetRecord entry : records.values()) {
      digest.add(entry.announcement().summary());
    }
    return digest;
  }

  /** What to ask the sender of a digest for: the known state of each target it knows later. */
  List<TargetSummary> behind(List<TargetSummary> digest) {
    List<TargetSummary> behind = new ArrayList<>();
    for (TargetSummary theirs : digest) {
      TargetRecord known = records.get(theirs.target());
      if (known == null) {
        behind.add(new TargetSummary(theirs.target(), NONE, NONE, false));
        continue;
      }
      if (theirs.newerThan(known.announcement().summary())) {
        behind.add(known.announcement().summary());
      }
    }
    return behind;
  }

  /** The records that are later than what another instance knows. */
  List<AgedAnnouncement> newerThan(List<TargetSummary> known, long nowMs) {
    List<AgedAnnouncement> newer = new ArrayList<>();
    for (TargetSummary theirs : known) {
      TargetRecord mine = records.get(theirs.target());
      if (mine != null && mine.announcement().summary().newerThan(theirs)) {
        newer.add(mine.agedAt(nowMs));
      }
    }
    return newer;
  }

  /** Removes targets that have long been silent and returns them. */
  List<TargetId> forget(long nowMs) {
    List<TargetId> forgotten = new ArrayList<>();
    for (Map.Entry<TargetId, TargetRecord> entry : records.entrySet()) {
      if (entry.getValue().ageAt(nowMs) >= FORGET_AFTER_MS) {
        forgotten.add(entry.getKey());
      }
    }
    forgotten.forEach(records::remove);
    return forgotten;
  }
}
