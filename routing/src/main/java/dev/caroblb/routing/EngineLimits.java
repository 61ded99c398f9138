package dev.caroblb.routing;

/**
 * Capacity and features of the engines of a service.
 *
 * @param slots number of requests that can run at once
 * @param memoryTokens memory for running requests and cached prompts, in tokens
 * @param moves whether running requests can be moved to another engine
 * @param backups whether running requests can be copied to another engine while they run
 * @param eventTokens number of tokens in one event of a stream
 */
public record EngineLimits(
    int slots, long memoryTokens, boolean moves, boolean backups, int eventTokens) {}
