package dev.caroblb.streams;

import java.util.HashMap;
import java.util.Map;
import java.util.Optional;

/** Which running call owns which link to a target. Link numbers are never used again. */
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
