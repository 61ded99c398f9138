package dev.caroblb.bench;

import dev.caroblb.placement.PolicyKind;
import java.util.Map;

/** Figures of one run. */
record RunResult(
    Workload workload, double load, long seed, PolicyKind policy, Map<Metric, Double> metrics) {}
