package dev.caroblb.bench;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import dev.caroblb.placement.PolicyKind;
import dev.caroblb.placement.PredictiveSettings;
import java.util.List;
import java.util.Map;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;

class SimulationTest {
  private static Map<Metric, Double> simulate(Workload workload, double load) {
    List<Arrival> arrivals = ArrivalPlan.draw(workload, load, 3);
    PredictiveSettings predictiveSettings = PredictiveSettings.defaults();
    return new Simulation(workload, arrivals, PolicyKind.PREDICTIVE, predictiveSettings, 3).run();
  }

  @Nested
  class WithTheSameSeed {
    /** Guards against results that cannot be reproduced. */
    @Test
    void givesTheSameMetrics() {
      assertEquals(simulate(Workload.RECEIPTS, 0.4), simulate(Workload.RECEIPTS, 0.4));
    }
  }

  @Nested
  class WhenEnginesAreLost {
    /** Guards against calls that are lost with an engine, neither retried nor counted. */
    @Test
    void accountsForEveryCall() {
      Map<Metric, Double> metrics = simulate(Workload.LOSS, 0.4);
      long offered =
          ArrivalPlan.draw(Workload.LOSS, 0.4, 3).stream()
              .filter(arrival -> arrival.atUs() >= Workload.LOSS.warmupUs())
              .count();
      double ended =
          metrics.get(Metric.GOODPUT) * offered
              + metrics.get(Metric.REFUSED_NOT_RUN)
              + metrics.get(Metric.ENDED_LATE)
              + metrics.get(Metric.INTERRUPTED);
      assertEquals((double) offered, ended, 0.01);
      assertTrue(metrics.get(Metric.INTERRUPTED) > 0);
    }
  }
}
