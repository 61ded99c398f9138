package dev.caroblb.cli;

/** HTTP answer of an entry. */
record EntryResponse(int status, String body) {}
