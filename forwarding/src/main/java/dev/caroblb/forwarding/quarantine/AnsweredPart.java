package dev.caroblb.forwarding.quarantine;

/**
 * A part of a prompt on which an engine generated.
 *
 * @param part the part
 * @param ageMs time in milliseconds since the latest response to a request with it began
 */
public record AnsweredPart(PromptPart part, long ageMs) {}
