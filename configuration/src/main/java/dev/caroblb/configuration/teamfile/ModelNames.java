package dev.caroblb.configuration.teamfile;

import dev.caroblb.core.ModelId;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;

/** Finds the model that a call refers to among those of its team file. */
final class ModelNames {
  private final Map<String, ModelId> byText = new LinkedHashMap<>();

  ModelNames(List<ModelNeed> models) {
    for (ModelNeed need : models) {
      byText.put(need.model().toString(), need.model());
    }
  }

  Optional<ModelId> find(String text) {
    return Optional.ofNullable(byText.get(text));
  }

  /** The texts that {@link #find} accepts, for an error message. */
  String allowed() {
    return byText.isEmpty()
        ? "a model listed under [[models]]"
        : "a model listed under [[models]]: " + String.join(", ", byText.keySet());
  }
}
