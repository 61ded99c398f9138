package dev.caroblb.standins.process;

import com.fasterxml.jackson.databind.node.ObjectNode;

/** The parts of a stand-in that depend on its kind. */
interface Standin {
  /** Adds the fields of the current state to an announcement. */
  void addToAnnouncement(ObjectNode announcement);

  /** Does the work that is due at the given time. */
  void tick(long nowMs);
}
