package dev.caroblb.bench;

import dev.caroblb.placement.PolicyKind;
import java.io.IOException;
import java.io.PrintStream;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.Locale;

/**
 * Prints medians and half of the 10% to 90% range of each metric with the ratio to the best
 * baseline, and writes the runs as CSV.
 */
final class Report {
  // Smaller values count as zero, as a ratio to them would be meaningless.
  private static final double EPSILON = 1e-9;

  private final List<RunResult> results;
  private final Options options;

  Report(List<RunResult> results, Options options) {
    this.results = results;
    this.options = options;
  }

  void writeCsv(Path file) throws IOException {
    List<String> lines = new ArrayList<>();
    StringBuilder head = new StringBuilder("workload,load,seed,policy");
    for (Metric metric : Metric.values()) {
      head.append(',').append(metric.label());
    }
    lines.add(head.toString());
    for (RunResult result : results) {
      StringBuilder line = new StringBuilder();
      line.append(result.workload().label()).append(',').append(result.load()).append(',');
      line.append(result.seed()).append(',').append(result.policy().label());
      for (Metric metric : Metric.values()) {
        line.append(',').append(String.format(Locale.ROOT, "%.4f", value(result, metric)));
      }
      lines.add(line.toString());
    }
    if (file.getParent() != null) {
      Files.createDirectories(file.getParent());
    }
    Files.write(file, lines);
  }

  void print(PrintStream out) {
    for (Workload workload : options.workloads()) {
      for (double load : options.loads()) {
        out.printf(Locale.ROOT, "%n%s at %.0f%% of capacity%n", workload.label(), load * 100);
        printRows(out, workload, load);
      }
    }
  }

  private void printRows(PrintStream out, Workload workload, double load) {
    out.printf(Locale.ROOT, "  %-16s", "");
    for (PolicyKind policy : options.policies()) {
      out.printf(Locale.ROOT, " %21s", policy.label());
    }
    out.printf(Locale.ROOT, " %8s%n", "ratio");
    for (Metric metric : Metric.values()) {
      out.printf(Locale.ROOT, "  %-16s", metric.label());
      for (PolicyKind policy : options.policies()) {
        double[] values = values(workload, load, policy, metric);
        double spread = quantile(values, 0.9) - quantile(values, 0.1);
        out.printf(Locale.ROOT, " %12.3f ±%7.2f", quantile(values, 0.5), spread / 2);
      }
      out.printf(Locale.ROOT, " %8s%n", ratio(workload, load, metric));
    }
  }

  /** Ratio of the median of the predictive policy to the best median of the other policies. */
  private String ratio(Workload workload, double load, Metric metric) {
    if (!options.policies().contains(PolicyKind.PREDICTIVE) || options.policies().size() < 2) {
      return "-";
    }
    double best = metric.higherIsBetter() ? -Double.MAX_VALUE : Double.MAX_VALUE;
    for (PolicyKind policy : options.policies()) {
      if (policy == PolicyKind.PREDICTIVE) {
        continue;
      }
      double median = quantile(values(workload, load, policy, metric), 0.5);
      best = metric.higherIsBetter() ? Math.max(best, median) : Math.min(best, median);
    }
    double own = quantile(values(workload, load, PolicyKind.PREDICTIVE, metric), 0.5);
    if (best < EPSILON) {
      return own < EPSILON ? "1.00" : "none";
    }
    return String.format(Locale.ROOT, "%.2f", own / best);
  }

  private double[] values(Workload workload, double load, PolicyKind policy, Metric metric) {
    return results.stream()
        .filter(r -> r.workload() == workload && r.load() == load && r.policy() == policy)
        .mapToDouble(r -> value(r, metric))
        .sorted()
        .toArray();
  }

  private static double value(RunResult result, Metric metric) {
    Double value = result.metrics().get(metric);
    return value == null ? Double.NaN : value;
  }

  /** Quantile of sorted values with linear interpolation. */
  static double quantile(double[] sorted, double fraction) {
    if (sorted.length == 0) {
      return Double.NaN;
    }
    double at = fraction * (sorted.length - 1);
    int low = (int) at;
    int high = Math.min(sorted.length - 1, low + 1);
    return sorted[low] + (at - low) * (sorted[high] - sorted[low]);
  }

  /** Median of unsorted values. */
  static double median(double[] values) {
    double[] sorted = values.clone();
    Arrays.sort(sorted);
    return quantile(sorted, 0.5);
  }
}
