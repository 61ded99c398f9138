package dev.caroblb.cli;

import com.beust.jcommander.Parameter;
import com.beust.jcommander.Parameters;
import java.util.List;
import java.util.Optional;

/** Prints the addresses, instances and failure domains of the entries that callers should use. */
@Parameters(commandDescription = "Print the entries that callers should use")
final class LocateCommand implements Subcommand {
  private static final long RESPONSE_TIMEOUT_MS = 5_000;

  @Parameter(
      names = "--entry",
      description = "Entry to query, host:port; repeat to name fallbacks, tried in order",
      required = true,
      converter = EntryAddress.Converter.class)
  private List<EntryAddress> entries;

  @Override
  public String name() {
    return "locate";
  }

  @Override
  public String example() {
    return "caroblb locate --entry 10.0.0.1:7001";
  }

  @Override
  public ExitCode run(Console console) throws InterruptedException {
    EntryClient client = new EntryClient(Optional.empty(), RESPONSE_TIMEOUT_MS);
    Optional<EntryList> list = EntryList.fetch(client, entries);
    if (list.isEmpty()) {
      console.printError("no entry returned the list of entries; try other addresses with --entry");
      return ExitCode.UNKNOWN;
    }
    for (EntryList.Entry entry : list.get().entries()) {
      console.print(entry.address() + " " + entry.instance() + " " + entry.domain());
    }
    console.print("keep_ms=" + list.get().addressTtlMs());
    return ExitCode.DONE;
  }
}
