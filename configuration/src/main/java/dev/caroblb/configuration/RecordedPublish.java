package dev.caroblb.configuration;

/** What is kept of an accepted publish to answer a resend or a competing one. */
public record RecordedPublish(long number, String request, String digest) {}
