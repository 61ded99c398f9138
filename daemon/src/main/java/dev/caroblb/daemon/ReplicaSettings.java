package dev.caroblb.daemon;

import dev.caroblb.agreement.AgreementSettings;
import dev.caroblb.agreement.Member;
import dev.caroblb.core.InstanceId;
import java.nio.file.Path;
import java.util.List;
import java.util.OptionalInt;

/**
 * Settings of the control replica of this instance.
 *
 * @param instance this instance
 * @param cluster name of the system; a data folder of another system is rejected
 * @param folder data folder
 * @param replicas all control replicas, or only those known at the start
 * @param firstStart whether the whole system starts for the first time
 * @param toleratedLosses replicas that may be lost at the same time; empty when {@code replicas}
 *     lists all control replicas
 */
record ReplicaSettings(
    InstanceId instance,
    String cluster,
    Path folder,
    List<InstanceId> replicas,
    boolean firstStart,
    OptionalInt toleratedLosses) {
  ReplicaSettings {
    replicas = List.copyOf(replicas);
  }

  AgreementSettings agreementSettings(Member self) {
    if (toleratedLosses.isEmpty()) {
      return new AgreementSettings(self, replicas);
    }
    return AgreementSettings.withDynamicReplicas(
        self, replicas, firstStart, toleratedLosses.getAsInt());
  }
}
