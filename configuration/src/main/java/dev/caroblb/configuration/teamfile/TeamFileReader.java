package dev.caroblb.configuration.teamfile;

import dev.caroblb.core.CallPolicy;
import dev.caroblb.core.ModelId;
import dev.caroblb.core.Names;
import dev.caroblb.core.WorkspaceId;
import io.vavr.control.Either;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.regex.Pattern;
import org.tomlj.Toml;
import org.tomlj.TomlArray;
import org.tomlj.TomlParseError;
import org.tomlj.TomlParseResult;
import org.tomlj.TomlPosition;
import org.tomlj.TomlTable;

/** Reads a team file and reports all of its errors at once. */
public final class TeamFileReader {
  /** Maximum size of a file; several such files fit in one message between instances. */
  public static final int MAX_FILE_BYTES = 256 * 1024;

  private static final int MAX_CONCURRENT = 1_000_000;
  private static final int MAX_REPLICAS = 100_000;
  private static final int MAX_SHARE = 100;
  private static final Pattern SHA256 = Pattern.compile("[0-9a-f]{64}");

  private TeamFileReader() {}

  /** Reads the text of the file with the given name. */
  public static Either<List<TeamFileError>, TeamFile> read(String name, String text) {
    if (text.getBytes(StandardCharsets.UTF_8).length > MAX_FILE_BYTES) {
      return unreadable(name, "a file that is too long", "at most " + MAX_FILE_BYTES + " bytes");
    }
    Optional<TomlParseResult> parsed = parse(text);
    return parsed.isPresent()
        ? readParsed(name, parsed.get())
        : unreadable(name, "text that the TOML parser cannot process", "TOML 1.0");
  }

  /**
   * Parses the text; empty if the parser itself fails. It recurses without limit on nested values,
   * and malformed escapes trigger assertion errors inside it.
   */
  private static Optional<TomlParseResult> parse(String text) {
    try {
      return Optional.of(Toml.parse(text));
    } catch (StackOverflowError | AssertionError | RuntimeException e) {
      return Optional.empty();
    }
  }

  private static Either<List<TeamFileError>, TeamFile> unreadable(
      String name, String found, String allowed) {
    return Either.left(
        List.of(new TeamFileError(name, 1, "", found, allowed, "simplify or split the file")));
  }

  private static Either<List<TeamFileError>, TeamFile> readParsed(
      String name, TomlParseResult parsed) {
    ErrorList errors = new ErrorList(name, !parsed.hasErrors());
    for (TomlParseError error : parsed.errors()) {
      String found = String.valueOf(error.getMessage());
      errors.add(error.position().line(), "", found, "TOML 1.0", "correct the syntax");
    }
    TomlFields root = new TomlFields(errors, parsed, "", 1);
    Optional<String> team = root.requiredName("team");
    List<WorkspacePolicy> workspaces = workspaces(errors, root);
    List<ModelDemand> models = models(errors, root);
    Map<String, CallPolicy> calls = calls(errors, root, new ModelNames(models));
    root.rejectUnknownKeys();
    if (!errors.isEmpty() || team.isEmpty()) {
      return Either.left(errors.sorted());
    }
    return Either.right(new TeamFile(team.get(), workspaces, models, calls));
  }

  private static List<WorkspacePolicy> workspaces(ErrorList errors, TomlFields root) {
    List<WorkspacePolicy> workspaces = new ArrayList<>();
    Set<String> names = new HashSet<>();
    for (TomlFields fields : elements(errors, root, "workspaces")) {
      Optional<String> name = fields.requiredName("name");
      Optional<String> token =
          fields.requiredText(
              "token_sha256",
              "the SHA-256 of the token as 64 lower-case hexadecimal digits",
              text -> SHA256.matcher(text).matches());
      Optional<Long> share = fields.requiredNumber("share", 1, MAX_SHARE);
      Optional<Long> maxConcurrent = fields.requiredNumber("max_concurrent", 1, MAX_CONCURRENT);
      fields.rejectUnknownKeys();
      if (name.isPresent() && !names.add(name.get())) {
        fields.addError("name", name.get(), "each workspace once", "remove one of the two");
      }
      if (name.isPresent() && token.isPresent() && share.isPresent() && maxConcurrent.isPresent()) {
        workspaces.add(
            new WorkspacePolicy(
                new WorkspaceId(name.get()),
                token.get(),
                share.get().intValue(),
                maxConcurrent.get().intValue()));
      }
    }
    return workspaces;
  }

  private static List<ModelDemand> models(ErrorList errors, TomlFields root) {
    List<ModelDemand> models = new ArrayList<>();
    Set<ModelId> ids = new HashSet<>();
    for (TomlFields fields : elements(errors, root, "models")) {
      Optional<String> name = fields.requiredName("name");
      Optional<String> adapter = fields.optionalName("adapter");
      Optional<String> version = fields.optionalName("version");
      Optional<Long> replicas = fields.requiredNumber("replicas", 1, MAX_REPLICAS);
      fields.rejectUnknownKeys();
      if (name.isEmpty() || replicas.isEmpty()) {
        continue;
      }
      ModelId id = new ModelId(name.get(), adapter, version);
      if (!ids.add(id)) {
        fields.addError("name", id.toString(), "each model once", "remove one of the two");
      }
      models.add(new ModelDemand(id, replicas.get().intValue()));
    }
    return models;
  }

  private static List<TomlFields> elements(ErrorList errors, TomlFields root, String key) {
    Optional<TomlArray> array = root.tables(key);
    if (array.isEmpty()) {
      return List.of();
    }
    List<TomlFields> elements = new ArrayList<>();
    for (int i = 0; i < array.get().size(); i++) {
      String path = key + "[" + (i + 1) + "]";
      int line = array.get().inputPositionOf(i).line();
      elements.add(new TomlFields(errors, array.get().getTable(i), path, line));
    }
    return elements;
  }

  private static Map<String, CallPolicy> calls(
      ErrorList errors, TomlFields root, ModelNames models) {
    Map<String, CallPolicy> calls = new LinkedHashMap<>();
    Optional<TomlTable> table = root.table("calls");
    if (table.isEmpty()) {
      return calls;
    }
    TomlFields callFields = new TomlFields(errors, table.get(), "calls", 1);
    for (String name : table.get().keySet()) {
      Optional<TomlTable> call = callFields.table(name);
      if (!Names.valid(name)) {
        callFields.addError(name, name, "names of letters, digits, '-' or '_'", "rename the call");
        continue;
      }
      TomlPosition position = table.get().inputPositionOf(List.of(name));
      call.map(fields -> new TomlFields(errors, fields, "calls." + name, position.line()))
          .flatMap(fields -> CallReader.read(name, fields, models))
          .ifPresent(policy -> calls.put(name, policy));
    }
    return calls;
  }
}
