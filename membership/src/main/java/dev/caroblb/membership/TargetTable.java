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
 * Table of the latest announcement of every target. The result of merging does not depend on the
 * order: the larger incarnation wins, then the larger sequence, and leaving is final within an
 * incarnation.
 */
final class TargetTable {
  /** Room for 12,000 engine replicas and as many replaced ones that are not forgotten yet. */
  static final int MAX_TARGETS = 24_000;

  /**
   * Time for which the record of a silent target is kept, so that late messages cannot make the
   * target appear again.
   */
  static final long FORGET_AFTER_MS = 600_000;

  private static final long NONE = -1;

  private final Map<TargetId, TargetRecord> records = new HashMap<>();
  private long refused;

  /** Stores a record unless a newer one is known; returns whether the table changed. */
  boolean merge(TargetRecord offered) {
    TargetId target = offered.announcement().target();
    TargetRecord known = records.get(target);
    if (known == null) {
      return add(target, offered);
    }
    TargetRecord merged = newerRecord(known, offered);
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

  private static TargetRecord newerRecord(TargetRecord known, TargetRecord offered) {
    Announcement mine = known.announcement();
    Announcement other = offered.announcement();
    if (mine.incarnation() != other.incarnation()) {
      return mine.incarnation() > other.incarnation() ? known : offered;
    }
    if (mine.sequence() == other.sequence()) {
      return known.mergeDuplicate(offered);
    }
    TargetRecord later = mine.sequence() > other.sequence() ? known : offered;
    return mine.leaving() || other.leaving() ? later.asLeaving() : later;
  }

  /** Marks a target as leaving if a digest reports it so; returns whether the table changed. */
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

  /** Number of new targets that were rejected because the table was full. */
  long refused() {
    return refused;
  }

  List<TargetSummary> digest() {
    List<TargetSummary> digest = new ArrayList<>(records.size());
    for (TargetRecord known : records.values()) {
      digest.add(known.announcement().summary());
    }
    return digest;
  }

  /**
   * Summaries to send in a request to the sender of a digest: what this instance has of each target
   * for which the digest lists a later announcement.
   */
  List<TargetSummary> summariesToRequest(List<TargetSummary> digest) {
    List<TargetSummary> toRequest = new ArrayList<>();
    for (TargetSummary theirs : digest) {
      TargetRecord known = records.get(theirs.target());
      if (known == null) {
        toRequest.add(new TargetSummary(theirs.target(), NONE, NONE, false));
        continue;
      }
      if (theirs.newerThan(known.announcement().summary())) {
        toRequest.add(known.announcement().summary());
      }
    }
    return toRequest;
  }

  /** The announcements that are later than those which another instance has. */
  List<AgedAnnouncement> announcementsNewerThan(List<TargetSummary> known, long nowMs) {
    List<AgedAnnouncement> newer = new ArrayList<>();
    for (TargetSummary theirs : known) {
      TargetRecord mine = records.get(theirs.target());
      if (mine != null && mine.announcement().summary().newerThan(theirs)) {
        newer.add(mine.agedAt(nowMs));
      }
    }
    return newer;
  }

  /** Removes and returns the targets that have been silent for {@link #FORGET_AFTER_MS}. */
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
