package dev.caroblb.standins.engine;

/**
 * A generation as it is submitted.
 *
 * @param promptTokens length of the prompt
 * @param prefix identity of the prefix that may be cached; 0 when there is none
 * @param prefixTokens length of that prefix
 * @param priority larger is admitted earlier and preempted later
 * @param outputTokens length at which the generation ends; the engine does not use it otherwise
 */
public record EngineRequest(
    int promptTokens, long prefix, int prefixTokens, int priority, int outputTokens) {
  public EngineRequest {
    if (promptTokens < 1 || outputTokens < 1 || prefixTokens > promptTokens) {
      throw new IllegalArgumentException(
          "prompt and output need at least one token, and a prefix no more than the prompt");
    }
  }
}
