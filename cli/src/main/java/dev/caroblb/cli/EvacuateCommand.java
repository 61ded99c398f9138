package dev.caroblb.cli;

import com.beust.jcommander.Parameter;
import com.beust.jcommander.Parameters;
import dev.caroblb.core.Names;
import io.vavr.control.Either;
import java.util.List;
import java.util.concurrent.TimeUnit;

/** Evacuates a failure domain, or withdraws the order. */
@Parameters(commandDescription = "Send nothing more to the targets of a failure domain")
final class EvacuateCommand implements Subcommand {
  private static final long RESPONSE_TIMEOUT_MS = 2_000;

  /** Pause between two rounds, for example while the control group elects a leader. */
  private static final long ROUND_PAUSE_MS = 200;

  private static final int OK = 200;
  private static final int FIRST_SERVER_ERROR = 500;

  @Parameter(names = "--domain", description = "Name of the failure domain", required = true)
  private String domain;

  @Parameter(names = "--end", description = "Withdraw the order")
  private boolean end;

  @Parameter(
      names = "--entry",
      description = "Entry address host:port; may be repeated, and must include the replicas",
      required = true,
      converter = EntryAddress.Converter.class)
  private List<EntryAddress> entries;

  @Parameter(names = "--token-file", description = "File with the operator token", required = true)
  private String tokenFile;

  @Parameter(names = "--time-limit-ms", description = "Time limit for all attempts together")
  private long timeLimitMs = 15_000;

  @Override
  public String name() {
    return "evacuate";
  }

  @Override
  public String example() {
    return "caroblb evacuate --domain domain-1 --entry 10.0.0.1:7001 --entry 10.0.1.1:7001"
        + " --token-file operator.token";
  }

  /** Tries the entries in turn, because only the leader of the control group accepts orders. */
  @Override
  public ExitCode run(Console console) throws InterruptedException {
    if (!Names.valid(domain)) {
      throw new InputException("--domain " + domain + " is not a valid name");
    }
    EntryClient client = new EntryClient(InputFiles.readToken(tokenFile), RESPONSE_TIMEOUT_MS);
    long untilNanos = System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(timeLimitMs);
    String lastCause = "";
    do {
      for (EntryAddress entry : entries) {
        Either<String, EntryResponse> response =
            client.send(end ? "DELETE" : "POST", entry, "/v1/evacuations/" + domain);
        if (response.isRight() && response.get().status() < FIRST_SERVER_ERROR) {
          return answered(response.get(), entry, console);
        }
        lastCause = response.fold(cause -> cause, answer -> entry + " " + answer.body());
      }
      TimeUnit.MILLISECONDS.sleep(ROUND_PAUSE_MS);
    } while (System.nanoTime() < untilNanos);
    console.printError(lastCause + "; send the order again");
    return ExitCode.UNKNOWN;
  }

  private static ExitCode answered(EntryResponse response, EntryAddress entry, Console console) {
    if (response.status() == OK) {
      console.print(response.body());
      return ExitCode.DONE;
    }
    console.printError(entry + " refused the order: " + response.body());
    return ExitCode.REFUSED;
  }
}
