package dev.caroblb.agreement;

/** Reason why this replica must stop; it takes no further part in consensus. */
public record ReplicaFault(String message) {}
