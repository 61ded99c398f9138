package dev.caroblb.soak;

/** Something that goes wrong for a while. */
interface Fault {
  /** Kind and victim, for the log of a run. */
  String describe();

  void inject() throws Exception;

  /** Ends the fault; the system has to recover by itself from then on. */
  void heal() throws Exception;
}
