package dev.caroblb.agreement;

import dev.caroblb.core.InstanceId;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.Optional;

/**
 * Identity of this replica and the replicas it knows. A slot is the instance at which a replica
 * runs, whatever the incarnation of its data folder. Not thread-safe: after its creation it is used
 * only by the agreement duty.
 */
public final class AgreementSettings {
  private final Member self;
  private final List<InstanceId> initialReplicas;
  private final boolean mayBootstrap;
  private final boolean acceptsNewReplicas;
  private final int minMembers;
  private final List<InstanceId> slots;

  private AgreementSettings(
      Member self,
      List<InstanceId> slots,
      List<InstanceId> initialReplicas,
      boolean mayBootstrap,
      boolean acceptsNewReplicas,
      int minMembers) {
    this.self = self;
    this.slots = new ArrayList<>(slots);
    this.initialReplicas = List.copyOf(initialReplicas);
    this.mayBootstrap = mayBootstrap;
    this.acceptsNewReplicas = acceptsNewReplicas;
    this.minMembers = minMembers;
    if (!slots.contains(self.instance())) {
      throw new IllegalArgumentException(
          "instance "
              + self.instance()
              + " is not in the list of replicas; add it to the settings");
    }
  }

  /**
   * Creates settings that list all replicas.
   *
   * @param self this instance and the incarnation of its data folder
   * @param slots all instances with a data folder, including this one
   */
  public AgreementSettings(Member self, List<InstanceId> slots) {
    this(self, slots, slots, true, false, slots.size());
  }

  /**
   * Creates settings that list only some replicas; others are added when they send a message or are
   * reported as members.
   *
   * @param contacts replicas known from the start; they bootstrap the groups if all are blank
   * @param firstStart whether the whole system starts for the first time, so that groups may be
   *     bootstrapped; otherwise a blank replica waits until it is added to the existing groups
   * @param toleratedLosses replicas that may be lost at the same time
   */
  public static AgreementSettings withDynamicReplicas(
      Member self, List<InstanceId> contacts, boolean firstStart, int toleratedLosses) {
    List<InstanceId> slots = new ArrayList<>(contacts);
    if (!slots.contains(self.instance())) {
      slots.add(self.instance());
    }
    int minMembers = Math.max(contacts.size(), 2 * toleratedLosses + 1);
    return new AgreementSettings(self, slots, contacts, firstStart, true, minMembers);
  }

  Member self() {
    return self;
  }

  List<InstanceId> slots() {
    return slots;
  }

  /** Minimum number of members that remain when an unresponsive member is removed. */
  int minMembers() {
    return minMembers;
  }

  /**
   * Adds the sender of a message, or a member that it reports, to the known replicas, if new ones
   * are accepted. Returns false if the replica is unknown and not accepted.
   */
  boolean accept(InstanceId peer) {
    if (slots.contains(peer)) {
      return true;
    }
    if (acceptsNewReplicas) {
      slots.add(peer);
    }
    return acceptsNewReplicas;
  }

  /** The slot that proposes the initial members of a group. */
  Optional<InstanceId> coordinator() {
    return initialReplicas.stream().min(Comparator.comparing(InstanceId::name));
  }

  /** Whether this replica proposes the initial members. */
  boolean isCoordinator() {
    return mayBootstrap && coordinator().filter(self.instance()::equals).isPresent();
  }

  List<InstanceId> initialReplicas() {
    return initialReplicas;
  }

  List<InstanceId> otherSlots() {
    return slots.stream().filter(slot -> !slot.equals(self.instance())).toList();
  }

  List<InstanceId> otherInitialReplicas() {
    return initialReplicas.stream().filter(slot -> !slot.equals(self.instance())).toList();
  }
}
