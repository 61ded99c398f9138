package dev.caroblb.bench;

import dev.caroblb.placement.PolicyKind;
import java.util.Map;

/** Parameters and metrics of one run. */
record RunResult(
    Workload workload, double load, long seed, PolicyKind policy, Map<Metric, Double> metrics) {}
