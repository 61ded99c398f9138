/**
 * Model of an engine for simulations: continuous batching, block-based KV memory, preemption, a
 * prefix cache and delayed reports. Deterministic; time is passed in.
 */
package dev.caroblb.standins.engine;
