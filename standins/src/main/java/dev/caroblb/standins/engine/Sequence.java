package dev.caroblb.standins.engine;

/** State of a generation inside the engine. */
final class Sequence {
  final long generation;
  final EngineRequest request;
  final long arrivalNumber;
  int generatedTokens;
  int blocks;

  /** Tokens still to prefill: of the prompt, and after a preemption also the generated ones. */
  int remainingPrefillTokens;

  int preemptions;

  Sequence(long generation, EngineRequest request, long arrivalNumber) {
    this.generation = generation;
    this.request = request;
    this.arrivalNumber = arrivalNumber;
  }

  int contextTokens() {
    return request.promptTokens() + generatedTokens;
  }

  /** Compares by order of admission: higher priority first, then earlier arrival. */
  static int compareForAdmission(Sequence a, Sequence b) {
    int byPriority = Integer.compare(b.request.priority(), a.request.priority());
    return byPriority != 0 ? byPriority : Long.compare(a.arrivalNumber, b.arrivalNumber);
  }
}
