package dev.caroblb.resumption;

import dev.caroblb.core.InstanceId;
import dev.caroblb.core.RendezvousScore;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;

/**
 * The control instances that hold the record of an attempt, by rendezvous hashing: every entry
 * finds the same ones, and a change of the instances moves few records.
 */
final class RecordHolders {
  /** Two of them may be lost. */
  static final int HOLDERS = 3;

  private RecordHolders() {}

  static List<InstanceId> of(String attempt, List<InstanceId> controlInstances) {
    if (controlInstances.size() <= HOLDERS) {
      return controlInstances;
    }
    return controlInstances.stream()
        .sorted(Comparator.comparingLong(instance -> RendezvousScore.of(instance.name(), attempt)))
        .limit(HOLDERS)
        .toList();
  }

  /** Whether an instance holds the record of an attempt if it is a control instance, too. */
  static boolean holds(InstanceId instance, String attempt, List<InstanceId> controlInstances) {
    if (controlInstances.contains(instance)) {
      return of(attempt, controlInstances).contains(instance);
    }
    List<InstanceId> withInstance = new ArrayList<>(controlInstances);
    withInstance.add(instance);
    return of(attempt, withInstance).contains(instance);
  }
}
