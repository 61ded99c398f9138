package dev.caroblb.configuration.teamfile;

import dev.caroblb.core.ModelId;

/** Number of engine replicas on which a team wants a model to be loaded. */
public record ModelDemand(ModelId model, int replicas) {}
