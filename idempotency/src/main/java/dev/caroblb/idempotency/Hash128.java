package dev.caroblb.idempotency;

/**
 * First 128 bits of a SHA-256 digest. Records store hashes because they take 16 bytes where texts
 * take up to 140; constructing a collision takes about 2^64 attempts.
 */
public record Hash128(long high, long low) {}
