package dev.caroblb.routing;

/**
 * What an engine of a service holds.
 *
 * @param slots requests that run at once
 * @param memoryTokens tokens that running requests and cached prompts may take
 * @param moves whether running requests can be moved to another engine
 * @param backups whether running requests can be copied to another engine while they run
 * @param eventTokens tokens in one event of a stream
 */
public record EngineLimits(
    int slots, long memoryTokens, boolean moves, boolean backups, int eventTokens) {}
