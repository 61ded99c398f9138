package dev.caroblb.cli;

import com.beust.jcommander.JCommander;
import com.beust.jcommander.Parameter;
import com.beust.jcommander.ParameterException;
import java.io.IOException;
import java.io.InputStream;
import java.util.List;
import java.util.Optional;
import java.util.Properties;

/** Entry point of the program {@code caroblb}. */
public final class Caroblb {
  private static final String BUILD_PROPERTIES =
      "/META-INF/maven/dev.caroblb/caroblb-cli/pom.properties";

  private final Console console;
  private final List<Subcommand> subcommands;

  @Parameter(names = "--help", description = "Show this help", help = true)
  private boolean help;

  @Parameter(names = "--version", description = "Show the version", help = true)
  private boolean version;

  Caroblb(Console console, List<Subcommand> subcommands) {
    this.console = console;
    this.subcommands = List.copyOf(subcommands);
  }

  /** Runs the program and exits with its exit code. */
  public static void main(String[] args) throws InterruptedException {
    Console console = new Console(System.out, System.err);
    List<Subcommand> subcommands =
        List.of(
            new PublishCommand(),
            new StatusCommand(),
            new EvacuateCommand(),
            new LocateCommand(),
            new LoadCommand(),
            new CheckCommand(new ConfigurationChecker()));
    System.exit(new Caroblb(console, subcommands).run(args).code());
  }

  ExitCode run(String... args) throws InterruptedException {
    JCommander.Builder builder = JCommander.newBuilder().programName("caroblb").addObject(this);
    subcommands.forEach(subcommand -> builder.addCommand(subcommand.name(), subcommand));
    JCommander parser = builder.build();
    try {
      parser.parse(args);
    } catch (ParameterException e) {
      console.printError(e.getMessage() + "; see caroblb --help");
      return ExitCode.USAGE;
    }
    if (version) {
      console.print("caroblb " + buildVersion());
      return ExitCode.DONE;
    }
    Optional<Subcommand> chosen =
        subcommands.stream()
            .filter(subcommand -> subcommand.name().equals(parser.getParsedCommand()))
            .findFirst();
    if (help || chosen.isEmpty()) {
      printHelp(parser);
      return help ? ExitCode.DONE : ExitCode.USAGE;
    }
    try {
      return chosen.get().run(console);
    } catch (InputException e) {
      console.printError(e.getMessage());
      return ExitCode.USAGE;
    }
  }

  private void printHelp(JCommander parser) {
    StringBuilder text = new StringBuilder();
    parser.getUsageFormatter().usage(text);
    text.append("\n  Examples:\n");
    subcommands.forEach(
        subcommand -> text.append("    ").append(subcommand.example()).append('\n'));
    text.append("\n  Exit codes:\n");
    for (ExitCode code : ExitCode.values()) {
      text.append("    ").append(code.code()).append("  ").append(code.meaning()).append('\n');
    }
    console.print(text.toString());
  }

  /** Returns the version from the jar; classes that run outside a jar have none. */
  private static String buildVersion() {
    Properties properties = new Properties();
    try (InputStream in = Caroblb.class.getResourceAsStream(BUILD_PROPERTIES)) {
      if (in != null) {
        properties.load(in);
      }
    } catch (IOException e) {
      return "unknown";
    }
    return properties.getProperty("version", "unpackaged");
  }
}
