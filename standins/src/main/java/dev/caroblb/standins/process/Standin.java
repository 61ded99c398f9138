package dev.caroblb.standins.process;

import com.fasterxml.jackson.databind.node.ObjectNode;

/** Part of an announcement that depends on the kind of stand-in. */
interface Standin {
  /** Adds what the target says about itself now. */
  void addToAnnouncement(ObjectNode announcement);

  /** Advances the work of the stand-in. */
  void tick(long nowMs);
}
