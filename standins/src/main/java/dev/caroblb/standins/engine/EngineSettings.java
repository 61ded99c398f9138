package dev.caroblb.standins.engine;

/**
 * Constants of an engine. The defaults are assumptions of published orders of magnitude for a model
 * of 13 billion parameters in 16 bits on one accelerator with 40 GB; none was measured here.
 *
 * @param totalBlocks blocks of memory for keys and values
 * @param blockTokens tokens in a block
 * @param maxBatchSize generations in a batch at most
 * @param baseStepUs time of a step: reading the weights once
 * @param sequenceStepUs additional time for each generation that decodes
 * @param contextTokenNs additional time for each token held in memory: reading its keys and values
 * @param prefillTokenUs additional time for each prompt token computed in the step
 * @param prefillChunk prompt tokens computed in a step at most
 * @param cacheTokens tokens of prompt prefixes that the cache holds
 * @param watermarkBlocks blocks that stay free when a generation is admitted
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
   * About 12 GB for 0.8 MB per token give 15,700 tokens or 981 blocks of 16; 26 GB of weights at
   * 1.5 TB/s take 18 ms; 0.8 MB at the same rate 0.5 us; 26 GFLOP per token at 260 TFLOP/s 0.1 ms.
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
