package dev.caroblb.bench;

import dev.caroblb.placement.PolicyKind;
import java.io.IOException;
import java.util.ArrayList;
import java.util.List;
import java.util.Locale;
import java.util.concurrent.ExecutionException;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.Future;

/** Runs the comparison, prints the results and writes them as CSV. */
public final class BenchMain {
  private BenchMain() {}

  /** Entry point; see {@link Options#USAGE}. */
  public static void main(String[] arguments)
      throws IOException, InterruptedException, ExecutionException {
    List<String> words = List.of(arguments);
    if (words.contains("--help")) {
      System.out.print(Options.USAGE);
      return;
    }
    Options options;
    try {
      options = Options.parse(words);
    } catch (IllegalArgumentException e) {
      System.err.println(e.getMessage());
      System.err.print(Options.USAGE);
      System.exit(2);
      return;
    }
    long start = System.nanoTime();
    List<RunResult> results = runAll(options);
    Report report = new Report(results, options);
    report.print(System.out);
    report.writeCsv(options.csv());
    if (options.measureDecisionCost()) {
      DecisionCost.print(System.out, options.policies());
    }
    double seconds = (System.nanoTime() - start) / 1e9;
    System.out.printf(
        Locale.ROOT, "%n%d runs in %.0f s, CSV in %s%n", results.size(), seconds, options.csv());
  }

  private static List<RunResult> runAll(Options options)
      throws InterruptedException, ExecutionException {
    ExecutorService executor = Executors.newFixedThreadPool(options.threads());
    List<Future<List<RunResult>>> pending = new ArrayList<>();
    for (Workload workload : options.workloads()) {
      for (double load : options.loads()) {
        for (int i = 0; i < options.seeds(); i++) {
          long seed = options.firstSeed() + i;
          pending.add(executor.submit(() -> runPolicies(options, workload, load, seed)));
        }
      }
    }
    List<RunResult> results = new ArrayList<>();
    for (Future<List<RunResult>> runs : pending) {
      results.addAll(runs.get());
    }
    executor.shutdown();
    return results;
  }

  private static List<RunResult> runPolicies(
      Options options, Workload workload, double load, long seed) {
    List<Arrival> arrivals = ArrivalPlan.draw(workload, load, seed);
    List<RunResult> results = new ArrayList<>();
    for (PolicyKind policy : options.policies()) {
      Simulation simulation =
          new Simulation(workload, arrivals, policy, options.predictiveSettings(), seed);
      results.add(new RunResult(workload, load, seed, policy, simulation.run()));
    }
    return results;
  }
}
