package dev.caroblb.placement;

/** Evidence against one target and the state of its ejection. */
final class TargetHealth {
  /** Where a target stands. */
  enum State {
    HEALTHY,
    EJECTED,
    /** One call is allowed; its result decides. */
    PROBING,
    /** The call allowed as a probe is running. */
    PROBE_RUNNING
  }

  // Evidence halves in this time, so that rare errors on a busy target do not add up.
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
      state = State.PROBING;
    }
  }

  void probeSent() {
    if (state == State.PROBING) {
      state = State.PROBE_RUNNING;
    }
  }

  /** Takes in the time per token of a generation. */
  void recordTokenInterval(double intervalMs) {
    tokenIntervalMs =
        tokenIntervalMs == 0
            ? intervalMs
            : tokenIntervalMs + TOKEN_INTERVAL_WEIGHT * (intervalMs - tokenIntervalMs);
  }

  /** Average time per token, 0 when unknown. */
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
