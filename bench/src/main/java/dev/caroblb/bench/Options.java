package dev.caroblb.bench;

import dev.caroblb.placement.PolicyKind;
import dev.caroblb.placement.PredictiveSettings;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.EnumSet;
import java.util.List;
import java.util.Locale;
import java.util.Set;

/** Parsed command line options. */
record Options(
    Set<Workload> workloads,
    List<Double> loads,
    long firstSeed,
    int seeds,
    Set<PolicyKind> policies,
    int threads,
    Path csv,
    boolean measureDecisionCost,
    PredictiveSettings predictiveSettings) {
  private static final List<Double> LOADS = List.of(0.60, 0.85, 1.00, 1.30);
  private static final int SEEDS = 10;
  private static final int THREADS = 4;

  /** First of the seeds that are reserved for the final figures. */
  static final long HELD_OUT_SEED = 1_000;

  static final String USAGE =
      """
      usage: bench/run [--workload NAME[,NAME]] [--load 0.85[,1.0]] [--seeds COUNT]
                       [--first-seed NUMBER] [--held-out] [--policy NAME[,NAME]]
                       [--threads COUNT] [--csv FILE] [--no-decisions]
                       [--knobs NAME=VALUE[,NAME=VALUE]]
      workloads: receipts staffing mix burst loss stale
      policies: round_robin least_outstanding lowest_load two_choices prefix_affinity predictive
      """;

  static Options parse(List<String> arguments) {
    Set<Workload> workloads = EnumSet.allOf(Workload.class);
    List<Double> loads = LOADS;
    long firstSeed = 1;
    int seeds = SEEDS;
    Set<PolicyKind> policies = EnumSet.allOf(PolicyKind.class);
    int threads = THREADS;
    Path csv = Path.of("bench", "target", "bench.csv");
    boolean measureDecisionCost = true;
    PredictiveSettings predictiveSettings = PredictiveSettings.defaults();
    for (int i = 0; i < arguments.size(); i++) {
      String option = arguments.get(i);
      if (option.equals("--held-out")) {
        firstSeed = HELD_OUT_SEED;
        continue;
      }
      if (option.equals("--no-decisions")) {
        measureDecisionCost = false;
        continue;
      }
      if (i + 1 == arguments.size()) {
        throw new IllegalArgumentException("option " + option + " is unknown or lacks its value");
      }
      String value = arguments.get(++i);
      switch (option) {
        case "--workload" -> workloads = names(Workload.class, value);
        case "--policy" -> policies = names(PolicyKind.class, value);
        case "--load" -> loads = numbers(value);
        case "--seeds" -> seeds = Integer.parseInt(value);
        case "--first-seed" -> firstSeed = Long.parseLong(value);
        case "--threads" -> threads = Integer.parseInt(value);
        case "--knobs" -> predictiveSettings = parsePredictiveSettings(value);
        case "--csv" -> csv = Path.of(value);
        default -> throw new IllegalArgumentException("option " + option + " is unknown");
      }
    }
    return new Options(
        workloads,
        loads,
        firstSeed,
        seeds,
        policies,
        threads,
        csv,
        measureDecisionCost,
        predictiveSettings);
  }

  private static <E extends Enum<E>> Set<E> names(Class<E> type, String value) {
    Set<E> chosen = EnumSet.noneOf(type);
    for (String name : value.split(",", -1)) {
      chosen.add(Enum.valueOf(type, name.toUpperCase(Locale.ROOT)));
    }
    return chosen;
  }

  private static PredictiveSettings parsePredictiveSettings(String value) {
    PredictiveSettings settings = PredictiveSettings.defaults();
    for (String pair : value.split(",", -1)) {
      int equals = pair.indexOf('=');
      double number = Double.parseDouble(pair.substring(equals + 1));
      settings = settings.with(pair.substring(0, equals), number);
    }
    return settings;
  }

  private static List<Double> numbers(String value) {
    List<Double> numbers = new ArrayList<>();
    for (String number : value.split(",", -1)) {
      numbers.add(Double.parseDouble(number));
    }
    return numbers;
  }
}
