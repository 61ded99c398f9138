package dev.caroblb.idempotency;

import dev.caroblb.core.GroupId;

/**
 * Splits the keys over the key groups.
 *
 * @param count number of groups; must be the same on all instances and must not change while
 *     records exist, otherwise a resend asks a group that does not know its key
 */
public record KeyGroups(int count) {
  public KeyGroups {
    if (count < 1) {
      throw new IllegalArgumentException(
          "at least one key group is needed; set the number of groups");
    }
  }

  GroupId of(CallKey key) {
    return GroupId.keys((int) Math.floorMod(Sha256.ofKey(key).low(), (long) count));
  }
}
