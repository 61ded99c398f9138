package dev.caroblb.idempotency;

/**
 * First 128 bits of a SHA-256 digest. Records keep hashes instead of texts because they take 16
 * bytes instead of up to 140; a collision takes about 2^64 attempts to construct.
 */
public record Hash128(long high, long low) {}
