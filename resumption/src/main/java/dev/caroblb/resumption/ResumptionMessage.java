package dev.caroblb.resumption;

import dev.caroblb.core.InstanceId;
import dev.caroblb.core.PeerEnvelope;
import java.util.Set;

/** Input of the resumption handler. */
public sealed interface ResumptionMessage {
  /** A message from another instance. */
  record FromPeer(PeerEnvelope<PeerMessage> received) implements ResumptionMessage {}

  /**
   * The known instances have changed.
   *
   * @param entries instances that serve callers
   * @param controlInstances the other control instances
   */
  record InstancesChanged(Set<InstanceId> entries, Set<InstanceId> controlInstances)
      implements ResumptionMessage {
    public InstancesChanged {
      entries = Set.copyOf(entries);
      controlInstances = Set.copyOf(controlInstances);
    }
  }
}
