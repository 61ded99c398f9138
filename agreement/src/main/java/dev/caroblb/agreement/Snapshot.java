package dev.caroblb.agreement;

import dev.caroblb.core.Payload;
import java.util.List;

/**
 * State of a group after the entry {@code lastIndex}.
 *
 * @param lastIndex index of the last entry it includes; 0 for the initial members of a new group
 * @param lastTerm term of that entry
 * @param members members in effect after that entry
 * @param state state of the state machine, empty for a new group
 */
public record Snapshot(long lastIndex, long lastTerm, List<Member> members, Payload state) {
  public Snapshot {
    members = List.copyOf(members);
  }
}
