package dev.caroblb.idempotency;

import dev.caroblb.core.GroupId;

/**
 * Partitions the keys over the key groups by hash.
 *
 * @param count number of groups; must be equal on all instances and must not change while records
 *     exist, otherwise a repeated call is looked up in a group without its record
 */
public record KeyGroups(int count) {
  public KeyGroups {
    if (count < 1) {
      throw new IllegalArgumentException("the number of key groups must be at least 1");
    }
  }

  GroupId of(CallKey key) {
    return GroupId.keys((int) Math.floorMod(Sha256.ofKey(key).low(), (long) count));
  }
}
