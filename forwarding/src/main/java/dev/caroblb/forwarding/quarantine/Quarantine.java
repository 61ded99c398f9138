package dev.caroblb.forwarding.quarantine;

/**
 * Why a request is not sent to engines.
 *
 * @param part a part of its prompt that crashes engines
 * @param leftMs time in milliseconds until requests with the part are admitted again
 */
public record Quarantine(PromptPart part, long leftMs) {}
