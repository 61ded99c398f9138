/**
 * Model of an engine for experiments and for the stand-in process: continuous batching, memory in
 * blocks, preemption, a prefix cache, lagging reports. Deterministic; time is passed in.
 */
package dev.caroblb.standins.engine;
