package dev.caroblb.membership;

import dev.caroblb.core.InstanceId;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;

/**
 * Topology in which instances discover each other through a few contacts. A contact exchanges its
 * tables with every instance that sends it heartbeats; all other instances exchange theirs with
 * contacts only. Contacts from the settings are kept permanently, contacts learned from heartbeats
 * only while they are heard from.
 */
public final class ContactTopology implements Topology {
  /**
   * Time after which a silent instance is forgotten; longer than a restart or a usual partition.
   */
  static final long FORGET_AFTER_MS = 30_000;

  /** Time without a heartbeat of any contact after which this instance counts as disconnected. */
  static final long CONTACT_TIMEOUT_MS = 2_000;

  /** Time after a reconnect within which every target is announced again. */
  static final long RECONNECT_GRACE_MS = 4_000;

  private final InstanceId self;
  private final boolean contact;
  private final Set<InstanceId> seeds;
  private final Map<InstanceId, Long> learnedContacts = new HashMap<>();
  private final Map<InstanceId, Long> lastHeardMs = new HashMap<>();
  private Optional<Long> lastContactHeartbeatMs = Optional.empty();
  private long connectedSinceMs;

  /**
   * Creates a topology that knows only the contacts named in the settings.
   *
   * @param self this instance
   * @param contact whether other instances may use this one as their contact
   * @param seeds contacts named in the settings
   */
  public ContactTopology(InstanceId self, boolean contact, Set<InstanceId> seeds) {
    this.self = self;
    this.contact = contact;
    this.seeds = Set.copyOf(seeds);
  }

  @Override
  public Set<InstanceId> peers() {
    Set<InstanceId> peers = new HashSet<>(seeds);
    peers.addAll(learnedContacts.keySet());
    if (contact) {
      peers.addAll(lastHeardMs.keySet());
    }
    peers.remove(self);
    return peers;
  }

  @Override
  public List<InstanceId> contacts() {
    Set<InstanceId> contacts = new HashSet<>(learnedContacts.keySet());
    if (contact) {
      contacts.add(self);
    }
    return contacts.stream().sorted((a, b) -> a.name().compareTo(b.name())).toList();
  }

  @Override
  public void heartbeatReceived(InstanceId peer, List<InstanceId> contacts, long nowMs) {
    lastHeardMs.put(peer, nowMs);
    if (!contacts.contains(peer)) {
      return;
    }
    learnedContacts.put(peer, nowMs);
    for (InstanceId listed : contacts) {
      if (!listed.equals(self)) {
        learnedContacts.putIfAbsent(listed, nowMs);
      }
    }
    if (lastContactHeartbeatMs.isEmpty()
        || nowMs - lastContactHeartbeatMs.get() >= CONTACT_TIMEOUT_MS) {
      connectedSinceMs = nowMs;
    }
    lastContactHeartbeatMs = Optional.of(nowMs);
  }

  @Override
  public void expire(long nowMs) {
    lastHeardMs.values().removeIf(at -> nowMs - at >= FORGET_AFTER_MS);
    learnedContacts.values().removeIf(at -> nowMs - at >= FORGET_AFTER_MS);
  }

  @Override
  public boolean disconnected(long nowMs) {
    return lastContactHeartbeatMs.isEmpty()
        || nowMs - lastContactHeartbeatMs.get() >= CONTACT_TIMEOUT_MS
        || nowMs - connectedSinceMs < RECONNECT_GRACE_MS;
  }
}
