package dev.caroblb.entryselection;

/** Totals of what this instance has used since its start; they never decrease. */
public interface UsageSource {
  /** Processor time in milliseconds. */
  long processorMs();

  /** Bytes on the network link in the direction with more of them. */
  long linkBytes();

  /** Connections that are open now. */
  long connections();
}
