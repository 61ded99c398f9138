package dev.caroblb.agreement;

import java.util.List;
import java.util.Optional;

/** State of one group as read from the data folder at a start. */
public record RecoveredGroup(
    long term, Optional<Member> votedFor, Optional<Snapshot> snapshot, List<LogEntry> entries) {
  public RecoveredGroup {
    entries = List.copyOf(entries);
  }

  /** Returns the state of a group for which nothing was ever stored. */
  public static RecoveredGroup blank() {
    return new RecoveredGroup(0, Optional.empty(), Optional.empty(), List.of());
  }
}
