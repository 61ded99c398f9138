package dev.caroblb.agreement;

/** Reason why this replica must stop; the process serves nothing of agreement from then on. */
public record ReplicaFault(String message) {}
