package dev.caroblb.agreement;

import java.util.List;
import java.util.Optional;

/** What the data folder holds of one group after a restart. */
public record RecoveredGroup(
    long term, Optional<Member> votedFor, Optional<Snapshot> snapshot, List<LogEntry> entries) {
  public RecoveredGroup {
    entries = List.copyOf(entries);
  }

  /** A group of which nothing was ever stored. */
  public static RecoveredGroup blank() {
    return new RecoveredGroup(0, Optional.empty(), Optional.empty(), List.of());
  }
}
