package dev.caroblb.bench;

import dev.caroblb.core.CallClass;
import dev.caroblb.core.CallPolicy;
import dev.caroblb.core.ModelId;
import java.util.Optional;
import java.util.SplittableRandom;

/**
 * Priority, time limit and size distribution of the calls of one name.
 *
 * @param policy call policy as in a team file
 * @param promptTokens mean length of a prompt; lengths vary by 25%
 * @param prefixTokens length of the prefix shared by the calls of a prompt template
 * @param medianOutputTokens median of the output length, which is log-normal
 * @param sigma standard deviation of the logarithm of the output length
 * @param maxOutputTokens limit of the output length
 * @param batchSize number of calls that arrive together
 */
record CallType(
    CallPolicy policy,
    int promptTokens,
    int prefixTokens,
    double medianOutputTokens,
    double sigma,
    int maxOutputTokens,
    int batchSize) {
  static final ModelId MODEL = ModelId.of("llm");

  static final CallType READING =
      new CallType(policy("reading", CallClass.LONG, 5, 90_000), 600, 400, 180, 0.8, 1_500, 1);
  static final CallType CHECK =
      new CallType(policy("check", CallClass.SHORT, 6, 10_000), 120, 80, 8, 0.3, 24, 8);
  static final CallType PLAN =
      new CallType(policy("plan", CallClass.LONG, 4, 600_000), 1_000, 400, 1_200, 0.8, 8_000, 1);
  static final CallType SORT =
      new CallType(policy("sort", CallClass.SHORT, 6, 10_000), 100, 60, 10, 0.4, 40, 1);

  private static CallPolicy policy(String name, CallClass callClass, int priority, long deadline) {
    return new CallPolicy(
        name,
        Optional.of(MODEL),
        Optional.empty(),
        true,
        priority,
        deadline,
        true,
        true,
        callClass);
  }

  int drawPrompt(SplittableRandom random) {
    return Math.max(prefixTokens + 1, (int) (promptTokens * (0.75 + 0.5 * random.nextDouble())));
  }

  int drawOutput(SplittableRandom random) {
    // Box-Muller transform.
    double normal =
        Math.sqrt(-2 * Math.log(1 - random.nextDouble()))
            * Math.cos(2 * Math.PI * random.nextDouble());
    return (int)
        Math.max(1, Math.min(maxOutputTokens, medianOutputTokens * Math.exp(sigma * normal)));
  }
}
