package dev.caroblb.routing;

import java.util.Optional;

/**
 * Who sends a request.
 *
 * @param name name of the workspace
 * @param priority urgency of all its requests, which goes before that of the route
 */
public record Workspace(String name, Optional<Integer> priority) {}
