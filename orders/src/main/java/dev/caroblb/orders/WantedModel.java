package dev.caroblb.orders;

import dev.caroblb.core.ModelId;

/** Number of engines that should have a model loaded. */
public record WantedModel(ModelId model, int replicas) {}
