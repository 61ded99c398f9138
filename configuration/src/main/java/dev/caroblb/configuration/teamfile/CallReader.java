package dev.caroblb.configuration.teamfile;

import dev.caroblb.core.CallClass;
import dev.caroblb.core.CallPolicy;
import dev.caroblb.core.ModelId;
import java.util.Locale;
import java.util.Optional;
import java.util.Set;

/** Reads the table of one call in a team file. */
final class CallReader {
  private static final long DEFAULT_PRIORITY = 5;
  private static final long MAX_PRIORITY = 9;
  private static final long MAX_DEADLINE_MS = 24 * 3_600_000L;
  private static final Set<String> CLASSES = Set.of("short", "long");

  private CallReader() {}

  static Optional<CallPolicy> read(String name, TomlFields fields, ModelNames models) {
    Optional<ModelId> model =
        fields.has("model")
            ? fields
                .requiredText("model", models.allowed(), text -> models.find(text).isPresent())
                .flatMap(models::find)
            : Optional.empty();
    Optional<String> service = fields.optionalName("service");
    boolean modelOrService = checkModelOrService(fields);
    Optional<Boolean> streams = fields.optionalFlag("streams");
    Optional<Long> priority = fields.optionalNumber("priority", 0, MAX_PRIORITY);
    Optional<Long> deadlineMs = fields.requiredNumber("deadline_ms", 1, MAX_DEADLINE_MS);
    Optional<Boolean> repeatable = fields.requiredFlag("repeatable");
    Optional<Boolean> prefixLocality = fields.optionalFlag("prefix_locality");
    Optional<String> callClass =
        fields.requiredText("class", "\"short\" or \"long\"", CLASSES::contains);
    fields.rejectUnknownKeys();
    boolean repeatableAllowed = checkRepeatable(fields, model, repeatable);
    boolean valid =
        modelOrService
            && repeatableAllowed
            && model.isPresent() != service.isPresent()
            && deadlineMs.isPresent()
            && repeatable.isPresent()
            && callClass.isPresent();
    if (!valid) {
      return Optional.empty();
    }
    return Optional.of(
        new CallPolicy(
            name,
            model,
            service,
            streams.orElse(false),
            priority.orElse(DEFAULT_PRIORITY).intValue(),
            deadlineMs.get(),
            repeatable.get(),
            prefixLocality.orElse(false),
            CallClass.valueOf(callClass.get().toUpperCase(Locale.ROOT))));
  }

  /**
   * Rejects {@code repeatable = false} for calls of a model. Such calls need a stored outcome per
   * idempotency key, and a generation is too long to be stored and replayed.
   */
  private static boolean checkRepeatable(
      TomlFields fields, Optional<ModelId> model, Optional<Boolean> repeatable) {
    if (model.isEmpty() || repeatable.orElse(true)) {
      return true;
    }
    fields.addError(
        "repeatable",
        "false for a call of a model",
        "true for a call of a model",
        "move the work that must not be repeated to a call of a service");
    return false;
  }

  private static boolean checkModelOrService(TomlFields fields) {
    if (fields.has("model") != fields.has("service")) {
      return true;
    }
    String found = fields.has("model") ? "a model and a service" : "neither model nor service";
    fields.addError("model", found, "a model or a service, exactly one", "keep or add one of them");
    return false;
  }
}
