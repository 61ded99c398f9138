package dev.caroblb.daemon;

import dev.caroblb.agreement.AgreementSettings;
import dev.caroblb.agreement.Member;
import dev.caroblb.core.InstanceId;
import java.nio.file.Path;
import java.util.List;
import java.util.Optional;

/**
 * Place of a control replica among the others.
 *
 * @param instance this instance
 * @param cluster name of the system, which the data folder must carry
 * @param folder data folder
 * @param replicas all control replicas, or those known from the start
 * @param firstStart whether the whole system starts for the first time; empty when {@code replicas}
 *     lists all control replicas
 */
record ReplicaPlace(
    InstanceId instance,
    String cluster,
    Path folder,
    List<InstanceId> replicas,
    Optional<Boolean> firstStart) {
  ReplicaPlace {
    replicas = List.copyOf(replicas);
  }

  AgreementSettings settings(Member self) {
    return firstStart
        .map(first -> AgreementSettings.growing(self, replicas, first))
        .orElseGet(() -> new AgreementSettings(self, replicas));
  }
}
