package dev.caroblb.routing;

import java.util.Optional;

/**
 * The workspace that a request belongs to.
 *
 * @param name name of the workspace
 * @param priority priority of all its requests, which overrides that of the route
 */
public record Workspace(String name, Optional<Integer> priority) {}
