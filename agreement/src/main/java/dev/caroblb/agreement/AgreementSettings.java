package dev.caroblb.agreement;

import dev.caroblb.core.InstanceId;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.Optional;

/** Place of this replica among the others. Belongs to the agreement duty. */
public final class AgreementSettings {
  private final Member self;
  private final List<InstanceId> founders;
  private final boolean mayForm;
  private final boolean growing;
  private final List<InstanceId> slots;

  private AgreementSettings(
      Member self,
      List<InstanceId> slots,
      List<InstanceId> founders,
      boolean mayForm,
      boolean growing) {
    this.self = self;
    this.slots = new ArrayList<>(slots);
    this.founders = List.copyOf(founders);
    this.mayForm = mayForm;
    this.growing = growing;
    if (!slots.contains(self.instance())) {
      throw new IllegalArgumentException(
          "instance " + self.instance() + " is not among the replicas; add it to the settings");
    }
  }

  /**
   * Replicas that are all listed.
   *
   * @param self this instance and the incarnation of its data folder
   * @param slots all instances with a data folder, this one included
   */
  public AgreementSettings(Member self, List<InstanceId> slots) {
    this(self, slots, slots, true, false);
  }

  /**
   * Replicas of which only some are listed; others are found when they are heard of.
   *
   * @param contacts replicas known from the start; they form the groups if all of them are blank
   * @param firstStart whether the whole system starts for the first time, so that groups may be
   *     formed; a blank replica waits to be added to the existing ones otherwise
   */
  public static AgreementSettings growing(
      Member self, List<InstanceId> contacts, boolean firstStart) {
    List<InstanceId> slots = new ArrayList<>(contacts);
    if (!slots.contains(self.instance())) {
      slots.add(self.instance());
    }
    return new AgreementSettings(self, slots, contacts, firstStart, true);
  }

  Member self() {
    return self;
  }

  List<InstanceId> slots() {
    return slots;
  }

  /** Number of replicas that the groups are kept at, at least. */
  int baseline() {
    return founders.size();
  }

  /** Takes note of a replica that was heard of; false when it does not belong to the system. */
  boolean accept(InstanceId peer) {
    if (slots.contains(peer)) {
      return true;
    }
    if (growing) {
      slots.add(peer);
    }
    return growing;
  }

  /** The slot that proposes the first members of a group. */
  Optional<InstanceId> coordinator() {
    return founders.stream().min(Comparator.comparing(InstanceId::name));
  }

  /** Whether this replica proposes the first members. */
  boolean coordinates() {
    return mayForm && coordinator().filter(self.instance()::equals).isPresent();
  }

  List<InstanceId> founders() {
    return founders;
  }

  List<InstanceId> otherSlots() {
    return slots.stream().filter(slot -> !slot.equals(self.instance())).toList();
  }

  List<InstanceId> otherFounders() {
    return founders.stream().filter(slot -> !slot.equals(self.instance())).toList();
  }
}
