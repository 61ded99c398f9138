package dev.caroblb.agreement;

import java.util.List;
import java.util.Map;
import java.util.NavigableMap;
import java.util.Optional;
import java.util.Set;
import java.util.TreeMap;

/** Member lists by the index of the entry from which each is in effect. */
final class MemberHistory {
  private final NavigableMap<Long, List<Member>> lists = new TreeMap<>();

  /** Replaces all lists with the members of a snapshot. */
  void reset(long index, List<Member> members) {
    lists.clear();
    lists.put(index, members);
  }

  void add(long index, List<Member> members) {
    lists.put(index, members);
  }

  /** Removes the lists from the given index on. */
  void truncateFrom(long index) {
    lists.tailMap(index, true).clear();
  }

  /** Removes the lists that were superseded by one at or before the given index. */
  void compactTo(long index) {
    Long effectiveIndex = lists.floorKey(index);
    if (effectiveIndex != null) {
      lists.headMap(effectiveIndex, false).clear();
    }
  }

  List<Member> newest() {
    return lists.lastEntry().getValue();
  }

  /** Index of the entry with the newest list. */
  long newestIndex() {
    return lists.lastKey();
  }

  /** Members in effect after the entry of the given index. */
  List<Member> at(long index) {
    Map.Entry<Long, List<Member>> entry = lists.floorEntry(index);
    return entry == null ? List.of() : entry.getValue();
  }

  /** Quorum rule for a replica that knows entries up to the given index to be committed. */
  Quorum quorum(long commitIndex, Set<Member> lost) {
    return new Quorum(newest(), previous(commitIndex), lost, commitIndex == 0);
  }

  private Optional<List<Member>> previous(long commitIndex) {
    if (newestIndex() <= commitIndex) {
      return Optional.empty();
    }
    Map.Entry<Long, List<Member>> before = lists.lowerEntry(newestIndex());
    if (before == null || before.getValue().isEmpty()) {
      return Optional.empty();
    }
    return Optional.of(before.getValue());
  }
}
