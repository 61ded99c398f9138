package dev.caroblb.resumption;

import dev.caroblb.core.InstanceId;
import java.nio.charset.StandardCharsets;
import java.util.Comparator;
import java.util.List;

/**
 * The control instances that hold the record of an attempt, by rendezvous hashing: every entry
 * finds the same ones, and a change of the instances moves few records.
 */
final class RecordHolders {
  /** Two of them may be lost. */
  private static final int HOLDERS = 3;

  private RecordHolders() {}

  static List<InstanceId> of(String attempt, List<InstanceId> controlInstances) {
    if (controlInstances.size() <= HOLDERS) {
      return controlInstances;
    }
    return controlInstances.stream()
        .sorted(Comparator.comparingLong(instance -> weight(attempt, instance)))
        .limit(HOLDERS)
        .toList();
  }

  /** 64-bit FNV-1a with a mixing step, which spreads names that differ in one character. */
  private static long weight(String attempt, InstanceId instance) {
    long hash = 0xcbf29ce484222325L;
    for (byte next : (attempt + ' ' + instance.name()).getBytes(StandardCharsets.UTF_8)) {
      hash = (hash ^ next) * 0x100000001b3L;
    }
    hash = (hash ^ (hash >>> 30)) * 0xbf58476d1ce4e5b9L;
    return hash ^ (hash >>> 27);
  }
}
