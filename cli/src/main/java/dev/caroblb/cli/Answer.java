package dev.caroblb.cli;

/** HTTP answer of an entry. */
record Answer(int status, String body) {}
