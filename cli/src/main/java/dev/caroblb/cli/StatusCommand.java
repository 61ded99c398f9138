package dev.caroblb.cli;

import com.beust.jcommander.Parameter;
import com.beust.jcommander.Parameters;
import com.fasterxml.jackson.databind.JsonNode;
import io.vavr.control.Either;
import java.util.List;
import java.util.Optional;

/** Prints the status that each given entry reports. */
@Parameters(commandDescription = "Print the status of each given entry as JSON")
final class StatusCommand implements Subcommand {
  private static final long RESPONSE_TIMEOUT_MS = 5_000;
  private static final int OK = 200;

  @Parameter(
      names = "--entry",
      description = "Entry address host:port; may be repeated",
      required = true,
      converter = EntryAddress.Converter.class)
  private List<EntryAddress> entries;

  @Parameter(names = "--token-file", description = "File with the operator token")
  private String tokenFile;

  @Override
  public String name() {
    return "status";
  }

  @Override
  public String example() {
    return "caroblb status --entry 10.0.0.1:7001 --entry 10.0.1.1:7001";
  }

  @Override
  public ExitCode run(Console console) throws InterruptedException {
    EntryClient client = new EntryClient(InputFiles.readToken(tokenFile), RESPONSE_TIMEOUT_MS);
    ExitCode result = ExitCode.DONE;
    for (EntryAddress entry : entries) {
      Either<String, EntryResponse> response = client.get(entry, "/v1/status");
      if (response.isLeft()) {
        console.printError(response.getLeft());
        result = ExitCode.UNKNOWN;
        continue;
      }
      Optional<JsonNode> state = Json.parseObject(response.get().body());
      if (response.get().status() != OK || state.isEmpty()) {
        console.printError(
            entry + " responded without a status report, HTTP status " + response.get().status());
        result = result == ExitCode.DONE ? ExitCode.REFUSED : result;
        continue;
      }
      console.print(entry + " " + Json.write(state.get(), true));
    }
    return result;
  }
}
