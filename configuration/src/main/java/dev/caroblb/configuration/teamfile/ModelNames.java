package dev.caroblb.configuration.teamfile;

import dev.caroblb.core.ModelId;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;

/** Looks up the model of a call among the models of its team file. */
final class ModelNames {
  private final Map<String, ModelId> byText = new LinkedHashMap<>();

  ModelNames(List<ModelDemand> models) {
    for (ModelDemand demand : models) {
      byText.put(demand.model().toString(), demand.model());
    }
  }

  Optional<ModelId> find(String text) {
    return Optional.ofNullable(byText.get(text));
  }

  /** Describes the texts that {@link #find} accepts, for error messages. */
  String allowed() {
    return byText.isEmpty()
        ? "a model listed under [[models]]"
        : "a model listed under [[models]]: " + String.join(", ", byText.keySet());
  }
}
