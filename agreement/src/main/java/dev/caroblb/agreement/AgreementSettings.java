package dev.caroblb.agreement;

import dev.caroblb.core.InstanceId;
import java.util.List;

/**
 * Place of this replica among the configured ones.
 *
 * @param self this instance and the incarnation of its data folder
 * @param slots all instances with a data folder, this one included
 */
public record AgreementSettings(Member self, List<InstanceId> slots) {
  public AgreementSettings {
    slots = List.copyOf(slots);
    if (!slots.contains(self.instance())) {
      throw new IllegalArgumentException(
          "instance " + self.instance() + " is not among the replicas; add it to the settings");
    }
  }

  /** The slot that proposes the first members of a group. */
  InstanceId coordinator() {
    return slots.stream().min((a, b) -> a.name().compareTo(b.name())).orElseThrow();
  }

  List<InstanceId> otherSlots() {
    return slots.stream().filter(slot -> !slot.equals(self.instance())).toList();
  }
}
