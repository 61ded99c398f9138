package dev.caroblb.forwarding.quarantine;

/**
 * A part of a prompt whose request was at an engine when that engine crashed.
 *
 * @param part the part
 * @param sentAgeMs time in milliseconds since the request was sent to the engine
 */
public record SuspectPart(PromptPart part, long sentAgeMs) {}
