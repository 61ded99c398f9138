package dev.caroblb.placement;

/** Evidence of faults of one target, and the state of its ejection. */
final class TargetHealth {
  /** State of the ejection of a target. */
  enum State {
    HEALTHY,
    EJECTED,
    /** The next call to the target is a probe, whose result decides whether it stays ejected. */
    PROBE_ALLOWED,
    /** The probe is running. */
    PROBE_RUNNING
  }

  // Evidence decays, so that rare errors of a busy target do not accumulate.
  private static final double EVIDENCE_HALF_LIFE_MS = 10_000;
  private static final double TOKEN_INTERVAL_WEIGHT = 0.1;

  private State state = State.HEALTHY;
  private double evidence;
  private long evidenceAtMs;
  private long probeAtMs;
  private long backoffMs;
  private double tokenIntervalMs;

  void addEvidence(double weight, long nowMs) {
    evidence = evidence(nowMs) + weight;
    evidenceAtMs = nowMs;
  }

  double evidence(long nowMs) {
    return evidence * Math.pow(0.5, (nowMs - evidenceAtMs) / EVIDENCE_HALF_LIFE_MS);
  }

  void reset(long nowMs) {
    state = State.HEALTHY;
    evidence = 0;
    evidenceAtMs = nowMs;
    backoffMs = 0;
    tokenIntervalMs = 0;
  }

  void eject(long firstBackoffMs, long maxBackoffMs, long nowMs) {
    state = State.EJECTED;
    backoffMs = backoffMs == 0 ? firstBackoffMs : Math.min(maxBackoffMs, backoffMs * 2);
    probeAtMs = nowMs + backoffMs;
  }

  void allowProbe(long nowMs) {
    if (state == State.EJECTED && nowMs >= probeAtMs) {
      state = State.PROBE_ALLOWED;
    }
  }

  void probeSent() {
    if (state == State.PROBE_ALLOWED) {
      state = State.PROBE_RUNNING;
    }
  }

  /** Adds a sample of the time per token. */
  void recordTokenInterval(double intervalMs) {
    tokenIntervalMs =
        tokenIntervalMs == 0
            ? intervalMs
            : tokenIntervalMs + TOKEN_INTERVAL_WEIGHT * (intervalMs - tokenIntervalMs);
  }

  /** Moving average of the time per token in milliseconds, 0 when unknown. */
  double tokenIntervalMs() {
    return tokenIntervalMs;
  }

  State state() {
    return state;
  }

  boolean ejected() {
    return state == State.EJECTED || state == State.PROBE_RUNNING;
  }
}
