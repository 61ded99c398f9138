package dev.caroblb.standins.engine;

/** A generation inside the engine. */
final class Sequence {
  final long generation;
  final EngineRequest request;
  final long order;
  int tokens;
  int blocks;

  /** Prompt tokens, and after a preemption also own tokens, still to be computed. */
  int prefillLeft;

  int preemptions;

  Sequence(long generation, EngineRequest request, long order) {
    this.generation = generation;
    this.request = request;
    this.order = order;
  }

  int contextTokens() {
    return request.promptTokens() + tokens;
  }

  /** Order of admission: higher priority, then earlier arrival. */
  static int byAdmission(Sequence a, Sequence b) {
    int byPriority = Integer.compare(b.request.priority(), a.request.priority());
    return byPriority != 0 ? byPriority : Long.compare(a.order, b.order);
  }
}
