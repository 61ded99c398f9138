package dev.caroblb.configuration;

/** Data of an accepted publish that is kept to answer resends and conflicting publishes. */
public record RecordedPublish(long number, String request, String digest) {}
