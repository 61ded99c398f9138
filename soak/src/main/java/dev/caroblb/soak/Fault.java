package dev.caroblb.soak;

/** A fault that lasts from {@link #inject()} to {@link #heal()}. */
interface Fault {
  /**
   * Kind of the fault and the affected process, separated by a space; a fault of all instances
   * names no process. The plan finds conflicting faults by this text, and the fault log prints it.
   */
  String describe();

  void inject() throws Exception;

  /** Ends the fault. The system must then recover without further help. */
  void heal() throws Exception;
}
