package dev.caroblb.agreement;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import java.util.function.Predicate;
import java.util.function.ToLongFunction;

/**
 * Decides which sets of members may elect a leader, commit entries and extend a lease. A quorum of
 * a list is a majority, or all members not proven lost if fewer than a majority are lost. While the
 * newest member list is not known to be committed, a quorum of the previous list is required as
 * well. Otherwise the members that remain after losses could form a quorum of the newest list that
 * does not overlap a majority of the previous one.
 *
 * @param newest newest member list in the log
 * @param previous previous list, present while the newest is not known to be committed
 * @param lost members whose data folder is proven to be lost
 * @param unanimous whether all members that are not lost must agree; true for a group without a
 *     committed entry, whose initial members may still be replaced
 */
record Quorum(
    List<Member> newest, Optional<List<Member>> previous, Set<Member> lost, boolean unanimous) {

  /** Whether the agreeing members form a quorum. */
  boolean reached(Predicate<Member> agrees) {
    return reachedIn(newest, agrees) && (previous.isEmpty() || reachedIn(previous.get(), agrees));
  }

  /** The largest value that a quorum has reached, or {@link Long#MIN_VALUE} if there is none. */
  long highest(ToLongFunction<Member> value) {
    List<Long> candidates = new ArrayList<>();
    for (Member member : newest) {
      candidates.add(value.applyAsLong(member));
    }
    for (Member member : previous.orElse(List.of())) {
      candidates.add(value.applyAsLong(member));
    }
    candidates.sort((a, b) -> Long.compare(b, a));
    for (long candidate : candidates) {
      if (reached(member -> value.applyAsLong(member) >= candidate)) {
        return candidate;
      }
    }
    return Long.MIN_VALUE;
  }

  private boolean reachedIn(List<Member> members, Predicate<Member> agrees) {
    int majority = members.size() / 2 + 1;
    int agreeing = 0;
    int lostCount = 0;
    int missing = 0;
    for (Member member : members) {
      boolean agreed = agrees.test(member);
      agreeing += agreed ? 1 : 0;
      if (lost.contains(member)) {
        lostCount++;
      } else if (!agreed) {
        missing++;
      }
    }
    if (!unanimous && agreeing >= majority) {
      return true;
    }
    return missing == 0 && lostCount < majority && agreeing > 0;
  }
}
