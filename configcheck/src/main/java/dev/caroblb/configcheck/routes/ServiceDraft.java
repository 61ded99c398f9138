package dev.caroblb.configcheck.routes;

import dev.caroblb.routing.Service;

/**
 * A service of a routing document.
 *
 * @param coldSeconds time in seconds that a target stays cold; 0 if the document names none
 * @param coldPerSecond requests per second that a cold target tolerates; 0 if it names none
 */
public record ServiceDraft(Service service, double coldSeconds, double coldPerSecond) {}
