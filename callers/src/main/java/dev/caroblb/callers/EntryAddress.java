package dev.caroblb.callers;

/** An entry instance that callers may use. */
public record EntryAddress(String address, String instance, String domain) {}
