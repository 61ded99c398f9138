package dev.caroblb.daemon;

import com.beust.jcommander.JCommander;
import com.beust.jcommander.Parameter;
import com.beust.jcommander.ParameterException;
import dev.caroblb.core.LogLine;
import dev.caroblb.core.SystemMillisClock;
import dev.caroblb.settings.InstanceSettings;
import dev.caroblb.settings.SettingsError;
import dev.caroblb.settings.SettingsReader;
import io.vavr.control.Either;
import java.io.IOException;
import java.nio.file.Path;
import java.util.List;

/** Main class of the instance binary {@code caroblbd}: command line and exit codes. */
public final class Caroblbd {
  private static final System.Logger LOGGER = System.getLogger(Caroblbd.class.getName());
  private static final String VERSION = "0.1.0";
  private static final int EXIT_OK = 0;
  private static final int EXIT_USAGE = 2;
  private static final int EXIT_SETTINGS = 3;
  private static final int EXIT_START = 4;
  private static final String EXAMPLES =
      """

        Examples:
          caroblbd --settings /etc/caroblb/entry-1.toml
          caroblbd --settings entry-1.toml --check

        Exit codes: 0 stopped as planned or settings valid, 2 invalid command line,
        3 invalid settings, 4 the instance could not start, or its durable state or a thread failed.""";

  @Parameter(names = "--settings", description = "TOML file with the settings of this instance")
  private String settings = "";

  @Parameter(names = "--check", description = "Check the settings and exit")
  private boolean check;

  @Parameter(names = "--version", description = "Print the version and exit")
  private boolean version;

  @Parameter(names = "--help", help = true, description = "Print this text and exit")
  private boolean help;

  private Caroblbd() {}

  public static void main(String[] args) {
    Caroblbd command = new Caroblbd();
    JCommander parser = JCommander.newBuilder().programName("caroblbd").addObject(command).build();
    int exitCode;
    try {
      parser.parse(args);
      exitCode = command.run(parser);
    } catch (ParameterException e) {
      System.err.println("caroblbd: " + e.getMessage() + "; see caroblbd --help");
      exitCode = EXIT_USAGE;
    }
    System.exit(exitCode);
  }

  private int run(JCommander parser) {
    if (help) {
      parser.usage();
      System.out.println(EXAMPLES);
      return EXIT_OK;
    }
    if (version) {
      System.out.println("caroblbd " + VERSION);
      return EXIT_OK;
    }
    if (settings.isEmpty()) {
      System.err.println("caroblbd: --settings is missing; see caroblbd --help");
      return EXIT_USAGE;
    }
    Either<List<SettingsError>, InstanceSettings> read = SettingsReader.read(Path.of(settings));
    if (read.isLeft()) {
      read.getLeft().forEach(error -> System.err.println("caroblbd: " + error.message()));
      return EXIT_SETTINGS;
    }
    if (check) {
      System.out.println("settings are valid");
      return EXIT_OK;
    }
    return serve(read.get());
  }

  private static int serve(InstanceSettings settings) {
    LogFormat.install(settings.logLevel());
    ProcessFailure.install(System.err, EXIT_START);
    try (Instance instance = Instance.start(settings, new SystemMillisClock())) {
      instance.awaitStop();
      return instance.failed() ? EXIT_START : EXIT_OK;
    } catch (IOException e) {
      LOGGER.log(
          System.Logger.Level.ERROR,
          LogLine.of("instance.start_failed").with("cause", e.getMessage()).toString());
      return EXIT_START;
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
      return EXIT_OK;
    }
  }
}
