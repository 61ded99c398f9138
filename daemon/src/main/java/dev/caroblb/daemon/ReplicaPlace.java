package dev.caroblb.daemon;

import dev.caroblb.core.InstanceId;
import java.nio.file.Path;
import java.util.List;

/**
 * Place of a control replica among the others.
 *
 * @param instance this instance
 * @param cluster name of the system, which the data folder must carry
 * @param folder data folder
 * @param slots all control replicas, this one included
 */
record ReplicaPlace(InstanceId instance, String cluster, Path folder, List<InstanceId> slots) {
  ReplicaPlace {
    slots = List.copyOf(slots);
  }
}
