package dev.caroblb.soak;

import java.util.List;

/** A fault that lasts from {@link #inject()} to {@link #heal()}. */
interface Fault {
  /**
   * Kind of the fault and the affected process, separated by a space; a fault of all instances
   * names no process. The plan finds conflicting faults by this text, and the fault log prints it.
   */
  String describe();

  /** Instances whose process the fault hits without notice, so that their calls may be cut. */
  default List<String> hitInstances() {
    return List.of();
  }

  void inject() throws Exception;

  /** Ends the fault. The system must then recover without further help. */
  void heal() throws Exception;
}
