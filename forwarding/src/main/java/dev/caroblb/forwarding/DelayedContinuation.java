package dev.caroblb.forwarding;

import dev.caroblb.targets.Target;

/**
 * A generation that continues from a copy as soon as the engine with the copy accepts requests.
 *
 * @param destination the engine
 * @param memory the copied memory
 */
record DelayedContinuation(Target destination, CopiedMemory memory) {}
