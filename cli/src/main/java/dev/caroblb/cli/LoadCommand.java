package dev.caroblb.cli;

import com.beust.jcommander.Parameter;
import com.beust.jcommander.Parameters;
import dev.caroblb.core.Names;
import java.util.List;
import java.util.Optional;

/** Generates load at a fixed rate and prints outcomes and latencies. */
@Parameters(commandDescription = "Send calls at a fixed rate and report outcomes and latencies")
final class LoadCommand implements Subcommand {
  private static final long RESPONSE_TIMEOUT_MS = 5_000;
  private static final double MAX_RATE = 100_000;

  @Parameter(
      names = "--entry",
      description =
          "Initial entry address host:port, until the list of entries is known; may be repeated",
      required = true,
      converter = EntryAddress.Converter.class)
  private List<EntryAddress> entries;

  @Parameter(names = "--workspace", description = "Name of the workspace", required = true)
  private String workspace;

  @Parameter(names = "--call", description = "Name of the call", required = true)
  private String call;

  @Parameter(names = "--rate", description = "Calls started per second")
  private double rate = 10;

  @Parameter(names = "--seconds", description = "Seconds during which calls are started")
  private long seconds = 10;

  @Parameter(
      names = "--drain-seconds",
      description = "Seconds to wait for running calls afterwards")
  private long drainSeconds = 60;

  @Parameter(
      names = "--max-running",
      description = "Maximum number of concurrent calls; further ones are not sent")
  private int maxRunning = 10_000;

  @Parameter(names = "--body-file", description = "File with the body of each call (default: {})")
  private String bodyFile;

  @Parameter(names = "--token-file", description = "File with the token of the workspace")
  private String tokenFile;

  @Parameter(
      names = "--deadline-ms",
      description = "Time limit in milliseconds sent with each call")
  private Long deadlineMs;

  @Parameter(names = "--idempotency-keys", description = "Give each call a new idempotency key")
  private boolean idempotencyKeys;

  @Override
  public String name() {
    return "load";
  }

  @Override
  public String example() {
    return "caroblb load --entry 10.0.0.1:7001 --workspace receipts-1 --call reading --rate 50"
        + " --seconds 60 --token-file workspace.token";
  }

  @Override
  public ExitCode run(Console console) throws InterruptedException {
    validateArguments();
    LoadPlan plan =
        new LoadPlan(
            "/v1/workspaces/" + workspace + "/calls/" + call,
            bodyFile == null ? "{}" : InputFiles.readText(bodyFile),
            InputFiles.readToken(tokenFile),
            rate,
            seconds,
            drainSeconds,
            Optional.ofNullable(deadlineMs),
            idempotencyKeys,
            maxRunning);
    EntryClient client = new EntryClient(Optional.empty(), RESPONSE_TIMEOUT_MS);
    LoadStatistics statistics = new LoadGenerator(plan, entries, client).run();
    statistics.print(console);
    long failedCalls =
        statistics.count(CallOutcome.Kind.LOST)
            + statistics.count(CallOutcome.Kind.WRONG)
            + statistics.unfinished();
    return failedCalls == 0 ? ExitCode.DONE : ExitCode.REFUSED;
  }

  private void validateArguments() {
    if (!(rate > 0 && rate <= MAX_RATE) || seconds < 1 || drainSeconds < 0 || maxRunning < 1) {
      throw new InputException(
          "--rate must be above 0 and at most "
              + (long) MAX_RATE
              + ", --seconds and --max-running at least 1, --drain-seconds at least 0");
    }
    for (String name : List.of(workspace, call)) {
      if (!Names.valid(name)) {
        throw new InputException("\"" + name + "\" is not a valid name of a workspace or call");
      }
    }
  }
}
