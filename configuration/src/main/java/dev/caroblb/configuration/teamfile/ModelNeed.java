package dev.caroblb.configuration.teamfile;

import dev.caroblb.core.ModelId;

/** Number of replicas that should have a model loaded. */
public record ModelNeed(ModelId model, int replicas) {}
