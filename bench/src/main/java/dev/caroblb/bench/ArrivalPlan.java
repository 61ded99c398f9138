package dev.caroblb.bench;

import dev.caroblb.standins.engine.EngineRequest;
import dev.caroblb.standins.engine.EngineSettings;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.SplittableRandom;

/** Draws the random arrivals of a run; all policies get the same ones. */
final class ArrivalPlan {
  private static final int PROMPT_TEMPLATES = 4;
  private static final int CAPACITY_SAMPLES = 20_000;
  private static final long CAPACITY_SEED = 42;

  private ArrivalPlan() {}

  static List<Arrival> draw(Workload workload, double load, long seed) {
    SplittableRandom random = new SplittableRandom(seed * 1_000_003 + workload.label().hashCode());
    double capacityPerUs = capacityPerSecond(workload) / 1e6;
    List<Arrival> arrivals = new ArrayList<>();
    for (Workload.WeightedCallType weighted : workload.callTypes()) {
      CallType callType = weighted.type();
      double rate = capacityPerUs * workload.shareOfCalls(weighted) / callType.batchSize();
      double atUs = 0;
      while (true) {
        double currentLoad = workload.loadAt(load, (long) atUs);
        atUs += -Math.log(1 - random.nextDouble()) / (rate * currentLoad);
        if (atUs >= workload.endUs()) {
          break;
        }
        addBatch(arrivals, workload, callType, (long) atUs, random);
      }
    }
    arrivals.sort(Comparator.comparingLong(Arrival::atUs));
    return arrivals;
  }

  private static void addBatch(
      List<Arrival> arrivals,
      Workload workload,
      CallType type,
      long atUs,
      SplittableRandom random) {
    int workspace = drawIndex(workload.workspaceShares(), random);
    int entry = random.nextInt(Simulation.ENTRIES);
    int template = random.nextInt(PROMPT_TEMPLATES);
    for (int i = 0; i < type.batchSize(); i++) {
      EngineRequest request = request(type, workspace, template, random);
      arrivals.add(new Arrival(atUs, type, workspace, entry, request));
    }
  }

  private static EngineRequest request(
      CallType type, int workspace, int template, SplittableRandom random) {
    int prompt = type.drawPrompt(random);
    long prefix = type.policy().call().hashCode() * 1_000L + workspace * 10L + template + 1;
    int output = type.drawOutput(random);
    return new EngineRequest(prompt, prefix, type.prefixTokens(), type.policy().priority(), output);
  }

  private static int drawIndex(double[] shares, SplittableRandom random) {
    double remaining = random.nextDouble();
    for (int i = 0; i < shares.length - 1; i++) {
      remaining -= shares[i];
      if (remaining < 0) {
        return i;
      }
    }
    return shares.length - 1;
  }

  /**
   * Calls per second at which the mean demand for memory equals the memory of all engines, with the
   * step times of full engines and all prefixes cached. An upper bound, reached only by perfect
   * packing.
   */
  static double capacityPerSecond(Workload workload) {
    SplittableRandom random = new SplittableRandom(CAPACITY_SEED);
    EngineSettings settings = EngineSettings.defaults();
    double tokenSteps = 0;
    double outputTokens = 0;
    double prefillTokens = 0;
    for (Workload.WeightedCallType weighted : workload.callTypes()) {
      for (int i = 0; i < CAPACITY_SAMPLES; i++) {
        double weight = workload.shareOfCalls(weighted) / CAPACITY_SAMPLES;
        EngineRequest request = request(weighted.type(), 0, 0, random);
        double output = request.outputTokens();
        tokenSteps += weight * output * (request.promptTokens() + output / 2);
        outputTokens += weight * output;
        prefillTokens += weight * (request.promptTokens() - request.prefixTokens());
      }
    }
    double memoryTokens = settings.totalBlocks() * (double) settings.blockTokens();
    double fixedUs = settings.baseStepUs() + memoryTokens * settings.contextTokenNs() / 1_000;
    double decodingCalls = memoryTokens / tokenSteps * outputTokens;
    double callsPerStep = memoryTokens / tokenSteps;
    double stepUs =
        fixedUs
            + decodingCalls * settings.sequenceStepUs()
            + callsPerStep * prefillTokens * settings.prefillTokenUs();
    return Simulation.ENGINES * callsPerStep / stepUs * 1e6;
  }
}
