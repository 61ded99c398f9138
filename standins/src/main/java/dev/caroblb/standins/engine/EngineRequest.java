package dev.caroblb.standins.engine;

/**
 * Request for a generation.
 *
 * @param promptTokens length of the prompt
 * @param prefix ID of the prompt prefix that may be cached; 0 when there is none
 * @param prefixTokens length of that prefix
 * @param priority generations of higher priority are admitted first and preempted last
 * @param outputTokens length of the output; the engine only uses it to end the generation
 */
public record EngineRequest(
    int promptTokens, long prefix, int prefixTokens, int priority, int outputTokens) {
  public EngineRequest {
    if (promptTokens < 1 || outputTokens < 1 || prefixTokens > promptTokens) {
      throw new IllegalArgumentException(
          "prompt and output need at least one token, and the prefix must fit into the prompt");
    }
  }
}
