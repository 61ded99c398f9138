package dev.caroblb.streams;

import java.util.HashMap;
import java.util.Map;
import java.util.Optional;

/** Maps the open links to the running calls that own them. Link numbers are not reused. */
final class Links {
  private final Map<Long, RunningCall> owners = new HashMap<>();
  private long lastLink;

  long open(RunningCall owner) {
    lastLink++;
    owners.put(lastLink, owner);
    return lastLink;
  }

  void close(long link) {
    owners.remove(link);
  }

  Optional<RunningCall> owner(long link) {
    return Optional.ofNullable(owners.get(link));
  }
}
