package dev.caroblb.cli;

/** HTTP response of an entry. */
record EntryResponse(int status, String body) {}
