package dev.caroblb.agreement;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import java.util.function.Predicate;
import java.util.function.ToLongFunction;

/**
 * Decides which sets of members may elect, commit and extend a lease. While the newest member list
 * is not known to be committed, the list before it must agree as well: a lone survivor under the
 * loss-proof rule would otherwise not overlap a majority of the neighbouring list.
 *
 * @param newest newest member list in the log
 * @param previous the list before it, as long as the newest is not known to be committed
 * @param lost members proven to be gone for good
 * @param unanimous whether all members must agree that are not lost; so for a group without a
 *     committed entry, whose members may still be formed anew
 */
record Quorum(
    List<Member> newest, Optional<List<Member>> previous, Set<Member> lost, boolean unanimous) {

  /** Whether the members that agree are a quorum. */
  boolean reached(Predicate<Member> agrees) {
    return reachedIn(newest, agrees) && (previous.isEmpty() || reachedIn(previous.get(), agrees));
  }

  /** The largest value that a quorum has reached, or {@link Long#MIN_VALUE}. */
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
    int gone = 0;
    int missing = 0;
    for (Member member : members) {
      boolean agreed = agrees.test(member);
      agreeing += agreed ? 1 : 0;
      if (lost.contains(member)) {
        gone++;
      } else if (!agreed) {
        missing++;
      }
    }
    if (!unanimous && agreeing >= majority) {
      return true;
    }
    return missing == 0 && gone < majority && agreeing > 0;
  }
}
