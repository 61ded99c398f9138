package dev.caroblb.membership;

import dev.caroblb.core.InstanceId;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;

/**
 * Instances find each other through a few contacts. A contact exchanges its tables with everyone
 * that it hears; all others exchange theirs with contacts only. The contacts of the settings are
 * tried for ever, those learned from heartbeats until they fall silent.
 */
public final class ContactTopology implements Topology {
  /** Longer than a restart and a partition of ordinary length. */
  static final long FORGET_AFTER_MS = 30_000;

  /** Time in which a heartbeat of a contact proves that announcements can arrive. */
  static final long CONTACT_SILENT_MS = 2_000;

  /** After contact was regained, every target has this time to be announced again. */
  static final long REGAIN_MS = 4_000;

  private final InstanceId self;
  private final boolean contact;
  private final Set<InstanceId> seeds;
  private final Map<InstanceId, Long> learned = new HashMap<>();
  private final Map<InstanceId, Long> heard = new HashMap<>();
  private Optional<Long> contactHeardAtMs = Optional.empty();
  private long inTouchSinceMs;

  /**
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
    peers.addAll(learned.keySet());
    if (contact) {
      peers.addAll(heard.keySet());
    }
    peers.remove(self);
    return peers;
  }

  @Override
  public List<InstanceId> contacts() {
    Set<InstanceId> contacts = new HashSet<>(learned.keySet());
    if (contact) {
      contacts.add(self);
    }
    return contacts.stream().sorted((a, b) -> a.name().compareTo(b.name())).toList();
  }

  @Override
  public void heard(InstanceId peer, List<InstanceId> contacts, long nowMs) {
    heard.put(peer, nowMs);
    if (!contacts.contains(peer)) {
      return;
    }
    learned.put(peer, nowMs);
    for (InstanceId named : contacts) {
      if (!named.equals(self)) {
        learned.putIfAbsent(named, nowMs);
      }
    }
    if (contactHeardAtMs.isEmpty() || nowMs - contactHeardAtMs.get() >= CONTACT_SILENT_MS) {
      inTouchSinceMs = nowMs;
    }
    contactHeardAtMs = Optional.of(nowMs);
  }

  @Override
  public void expire(long nowMs) {
    heard.values().removeIf(at -> nowMs - at >= FORGET_AFTER_MS);
    learned.values().removeIf(at -> nowMs - at >= FORGET_AFTER_MS);
  }

  @Override
  public boolean outOfTouch(long nowMs) {
    return contactHeardAtMs.isEmpty()
        || nowMs - contactHeardAtMs.get() >= CONTACT_SILENT_MS
        || nowMs - inTouchSinceMs < REGAIN_MS;
  }
}
