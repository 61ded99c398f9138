package dev.caroblb.settings;

import dev.caroblb.core.FailureDomain;
import dev.caroblb.core.InstanceId;
import dev.caroblb.settings.SettingsError.Kind;
import io.vavr.control.Either;
import java.io.IOException;
import java.lang.System.Logger.Level;
import java.nio.file.Files;
import java.nio.file.InvalidPathException;
import java.nio.file.Path;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.Optional;
import java.util.regex.Pattern;
import org.tomlj.Toml;
import org.tomlj.TomlParseResult;

/** Reads the settings file of an instance and reports all errors at once. */
public final class SettingsReader {
  private static final long MAX_FILE_BYTES = 1 << 20;
  private static final Pattern SHA256 = Pattern.compile("[0-9a-fA-F]{64}");
  private static final Pattern TOKEN = Pattern.compile("[!-~]{16,256}");
  private static final Map<String, Level> LOG_LEVELS =
      Map.of(
          "trace", Level.TRACE,
          "debug", Level.DEBUG,
          "info", Level.INFO,
          "warning", Level.WARNING,
          "error", Level.ERROR);
  private static final String LOG_LEVEL_NAMES = "trace, debug, info, warning or error";
  static final String ADDRESS_FORMAT =
      "an IP address and port such as 127.0.0.1:7001 or [::1]:7001";

  private final Path file;
  private final ErrorCollector errors;

  private SettingsReader(Path file) {
    this.file = file;
    this.errors = new ErrorCollector(file);
  }

  /** Reads and validates a settings file. */
  public static Either<List<SettingsError>, InstanceSettings> read(Path file) {
    return new SettingsReader(file).read();
  }

  private Either<List<SettingsError>, InstanceSettings> read() {
    Optional<TomlParseResult> parsed = parse();
    if (parsed.isEmpty()) {
      return Either.left(errors.sorted());
    }
    parsed.get().errors().forEach(errors::addSyntax);
    Optional<InstanceSettings> settings = settings(parsed.get());
    if (settings.isEmpty() || !errors.isEmpty()) {
      return Either.left(errors.sorted());
    }
    return Either.right(settings.get());
  }

  private Optional<TomlParseResult> parse() {
    try {
      if (Files.size(file) > MAX_FILE_BYTES) {
        unreadable("a file of " + Files.size(file) + " bytes");
        return Optional.empty();
      }
      return parse(Files.readString(file));
    } catch (IOException e) {
      unreadable("a file that cannot be read (" + e + ")");
      return Optional.empty();
    }
  }

  /**
   * Parses the text. Some malformed input makes the parser recurse without limit or fail with an
   * assertion error inside it.
   */
  private Optional<TomlParseResult> parse(String text) {
    try {
      return Optional.of(Toml.parse(text));
    } catch (StackOverflowError | AssertionError | RuntimeException e) {
      unreadable("text that the TOML parser cannot process (" + e.getClass().getSimpleName() + ")");
      return Optional.empty();
    }
  }

  private void unreadable(String found) {
    errors.add(
        Kind.UNREADABLE,
        1,
        "",
        found,
        "a readable TOML file in UTF-8 of at most " + MAX_FILE_BYTES + " bytes",
        "name an existing settings file that this process may read, or correct its syntax");
  }

  private Optional<InstanceSettings> settings(TomlParseResult parsed) {
    TableReader root = new TableReader(errors, parsed, "", 1);
    Optional<String> cluster = root.requiredName("cluster");
    Optional<Secret> clusterToken =
        root.requiredSecret(
            "cluster_token",
            "16 to 256 visible ASCII characters",
            text ->
                TOKEN.matcher(text).matches() ? Optional.of(new Secret(text)) : Optional.empty());
    Optional<InstanceId> instance = root.requiredName("instance").map(InstanceId::new);
    Optional<FailureDomain> domain = root.requiredName("domain").map(FailureDomain::new);
    Optional<String> region = root.requiredName("region");
    Optional<SocketAddress> callersAddress = address(root, "callers_address");
    Optional<SocketAddress> peersAddress = address(root, "peers_address");
    int keyGroups = (int) root.integer("key_groups", 4, 1, 64);
    Optional<String> operatorToken = sha256(root, "operator_token_sha256");
    Optional<String> targetToken = sha256(root, "target_token_sha256");
    Optional<Path> dataFolder = path(root, "data_folder");
    Optional<Path> portsFile = path(root, "ports_file");
    LimitSettings limits = limits(root.table("limits"));
    TimeSettings times = times(root.table("times"));
    Level logLevel = logLevel(root);
    List<PeerSettings> peers =
        new PeerListReader(root, instance, domain, dataFolder.isPresent()).read();
    root.rejectUnknownKeys();
    if (!errors.isEmpty()) {
      return Optional.empty();
    }
    return Optional.of(
        new InstanceSettings(
            cluster.orElseThrow(),
            clusterToken.orElseThrow(),
            instance.orElseThrow(),
            domain.orElseThrow(),
            region.orElseThrow(),
            callersAddress.orElseThrow(),
            peersAddress.orElseThrow(),
            peers,
            dataFolder,
            keyGroups,
            operatorToken.orElseThrow(),
            targetToken.orElseThrow(),
            limits,
            times,
            logLevel,
            portsFile));
  }

  static Optional<SocketAddress> address(TableReader table, String key) {
    return table.requiredText(key, ADDRESS_FORMAT, SocketAddress::parse);
  }

  private static Optional<String> sha256(TableReader table, String key) {
    return table.requiredText(
        key,
        "64 hex digits, for example from: printf %s \"$TOKEN\" | sha256sum",
        text ->
            SHA256.matcher(text).matches()
                ? Optional.of(text.toLowerCase(Locale.ROOT))
                : Optional.empty());
  }

  /**
   * Reads an optional path. A relative path is resolved against the folder of the settings file.
   */
  private Optional<Path> path(TableReader table, String key) {
    return table.optionalText(
        key, "a path, relative to the folder of the settings file", this::resolve);
  }

  private Optional<Path> resolve(String text) {
    if (text.isEmpty()) {
      return Optional.empty();
    }
    try {
      return Optional.of(file.toAbsolutePath().resolveSibling(text).normalize());
    } catch (InvalidPathException e) {
      return Optional.empty();
    }
  }

  private static Level logLevel(TableReader root) {
    return root.optionalText(
            "log_level", LOG_LEVEL_NAMES, text -> Optional.ofNullable(LOG_LEVELS.get(text)))
        .orElse(Level.INFO);
  }

  private static LimitSettings limits(TableReader table) {
    LimitSettings limits =
        new LimitSettings(
            (int) table.integer("max_streams", 1_000, 1, 100_000),
            (int) table.integer("max_body_bytes", 1_048_576, 1_024, 16_777_216),
            (int) table.integer("max_header_bytes", 16_384, 1_024, 1_048_576),
            (int) table.integer("backlog", 256, 1, 65_535),
            table.integer("request_time_limit_ms", 30_000, 100, 600_000));
    table.rejectUnknownKeys();
    return limits;
  }

  private static TimeSettings times(TableReader table) {
    TimeSettings times =
        new TimeSettings(
            table.integer("drain_limit_ms", 600_000, 1_000, 86_400_000),
            table.integer("caller_stall_ms", 30_000, 100, 600_000),
            table.integer("target_stall_ms", 5_000, 100, 600_000),
            table.integer("abandon_ms", 10_000, 100, 600_000));
    table.rejectUnknownKeys();
    return times;
  }
}
