package dev.caroblb.agreement;

import java.util.List;
import java.util.Map;
import java.util.NavigableMap;
import java.util.Optional;
import java.util.Set;
import java.util.TreeMap;

/** Member lists by the index of the entry from which each is in force. */
final class MemberHistory {
  private final NavigableMap<Long, List<Member>> lists = new TreeMap<>();

  /** Forgets everything and starts with the members of a snapshot. */
  void reset(long index, List<Member> members) {
    lists.clear();
    lists.put(index, members);
  }

  void add(long index, List<Member> members) {
    lists.put(index, members);
  }

  /** Forgets lists from the given index on. */
  void truncateFrom(long index) {
    lists.tailMap(index, true).clear();
  }

  /** Forgets lists that ended before the given index. */
  void compactTo(long index) {
    Long inForce = lists.floorKey(index);
    if (inForce != null) {
      lists.headMap(inForce, false).clear();
    }
  }

  List<Member> newest() {
    return lists.lastEntry().getValue();
  }

  /** Index of the entry with the newest list. */
  long newestIndex() {
    return lists.lastKey();
  }

  /** Members in force after the given entry. */
  List<Member> at(long index) {
    Map.Entry<Long, List<Member>> entry = lists.floorEntry(index);
    return entry == null ? List.of() : entry.getValue();
  }

  /** The quorum rule for a replica that knows of commits up to the given index. */
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
