package dev.caroblb.standins.engine;

/**
 * Capacity and step times of an engine. The defaults follow published orders of magnitude for a
 * model of 13 billion parameters in 16 bits on one accelerator with 40 GB.
 *
 * @param totalBlocks blocks of KV memory
 * @param blockTokens tokens per block
 * @param maxBatchSize maximum number of generations in a batch
 * @param baseStepUs base time of a step: one read of the weights
 * @param sequenceStepUs additional time per decoding generation
 * @param contextTokenNs additional time per token in memory: one read of its keys and values
 * @param prefillTokenUs additional time per prompt token prefilled in the step
 * @param prefillChunk maximum number of prompt tokens prefilled in a step
 * @param cacheTokens capacity of the prefix cache in tokens
 * @param watermarkBlocks blocks that must stay free when a generation joins a running batch
 */
public record EngineSettings(
    int totalBlocks,
    int blockTokens,
    int maxBatchSize,
    int baseStepUs,
    int sequenceStepUs,
    int contextTokenNs,
    int prefillTokenUs,
    int prefillChunk,
    int cacheTokens,
    int watermarkBlocks) {
  /**
   * Derivation: about 12 GB of KV memory at 0.8 MB per token hold 15,700 tokens, 981 blocks of 16.
   * Reading 26 GB of weights at 1.5 TB/s takes 18 ms, and 0.8 MB at the same rate 0.5 us. Prefill
   * of a token is 26 GFLOP, 0.1 ms at 260 TFLOP/s.
   */
  public static EngineSettings defaults() {
    return new EngineSettings(981, 16, 256, 18_000, 150, 500, 100, 256, 8_192, 10);
  }

  int blocksFor(int tokens) {
    return (tokens + blockTokens - 1) / blockTokens;
  }

  long stepUs(int decoding, long contextTokens, int prefillTokens) {
    return baseStepUs
        + (long) sequenceStepUs * decoding
        + contextTokens * contextTokenNs / 1_000
        + (long) prefillTokenUs * prefillTokens;
  }
}
