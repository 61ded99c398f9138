package dev.caroblb.entryselection;

/**
 * Limits of an instance, from its settings.
 *
 * @param milliCores processor time that it may use, in thousandths of a core
 * @param linkKbps bandwidth of its network link, in kbit/s
 * @param connections number of connections that it may have open
 */
public record InstanceLimits(long milliCores, long linkKbps, long connections) {}
