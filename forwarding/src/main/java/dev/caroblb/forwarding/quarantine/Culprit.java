package dev.caroblb.forwarding.quarantine;

/**
 * A part of a prompt that crashes engines.
 *
 * @param part the part
 * @param crashes number of crashes that it explains
 * @param lastCrashMs time of the last of them
 */
record Culprit(PromptPart part, int crashes, long lastCrashMs) {}
