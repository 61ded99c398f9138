package dev.caroblb.cli;

import com.beust.jcommander.Parameter;
import com.beust.jcommander.Parameters;
import dev.caroblb.core.SystemMillisClock;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Set;
import java.util.UUID;

/** Publishes team files under one publish number. */
@Parameters(commandDescription = "Publish team files")
final class PublishCommand implements Subcommand {
  private static final long RESPONSE_TIMEOUT_MS = 15_000;

  @Parameter(description = "FILE...", required = true)
  private List<String> files;

  @Parameter(
      names = "--number",
      description = "Publish number; must be greater than the one in force",
      required = true)
  private Long number;

  @Parameter(
      names = "--request",
      description = "ID of the publish; reuse it to retry the same publish (default: random)")
  private String request;

  @Parameter(
      names = "--entry",
      description = "Entry address host:port; may be repeated",
      required = true,
      converter = EntryAddress.Converter.class)
  private List<EntryAddress> entries;

  @Parameter(names = "--token-file", description = "File with the operator token", required = true)
  private String tokenFile;

  @Parameter(names = "--time-limit-ms", description = "Time limit for all attempts together")
  private long timeLimitMs = 30_000;

  @Override
  public String name() {
    return "publish";
  }

  @Override
  public String example() {
    return "caroblb publish --number 42 --entry 10.0.0.1:7001 --entry 10.0.1.1:7001"
        + " --token-file operator.token receipts.toml staffing.toml";
  }

  @Override
  public ExitCode run(Console console) throws InterruptedException {
    if (number < 1) {
      throw new InputException("--number " + number + " is out of range; the minimum is 1");
    }
    String requestId = request == null ? UUID.randomUUID().toString() : request;
    PublishRequest publish = new PublishRequest(number, requestId, readFiles());
    EntryClient client = new EntryClient(InputFiles.readToken(tokenFile), RESPONSE_TIMEOUT_MS);
    console.print("number=" + number + " request=" + requestId);
    return new Publisher(client, entries, new SystemMillisClock(), console)
        .publish(publish, timeLimitMs);
  }

  private List<PublishRequest.File> readFiles() {
    Set<String> names = new HashSet<>();
    List<PublishRequest.File> read = new ArrayList<>();
    for (String file : files) {
      String name = Path.of(file).getFileName().toString();
      if (!names.add(name)) {
        throw new InputException(
            "two files are named " + name + "; a publish replaces files by name, so rename one");
      }
      read.add(new PublishRequest.File(name, InputFiles.readText(file)));
    }
    return read;
  }
}
