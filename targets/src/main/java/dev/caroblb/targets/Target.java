package dev.caroblb.targets;

/** State of a target as seen by this instance, with the load that this instance has put on it. */
public final class Target {
  /**
   * Initial penalty in milliseconds after a failure. A penalized target gets no requests while
   * another target is available.
   */
  private static final long MIN_PENALTY_MS = 250;

  private static final long MAX_PENALTY_MS = 4_000;

  /**
   * Age in milliseconds of a heartbeat at which it no longer shows that a run goes on: two
   * intervals between heartbeats of targets.
   */
  private static final long CONFIRMED_FOR_MS = 2_400;

  private final TargetInfo info;
  private boolean leaving;
  private long leavingSinceMs;
  private int running;
  private long tokens;
  private long prefillTokens;
  private long penaltyUntilMs = Long.MIN_VALUE;
  private long penaltyMs = MIN_PENALTY_MS;
  private long rejectsUntilMs = Long.MIN_VALUE;
  private boolean evacuated;
  private long heardMs = Long.MIN_VALUE;
  private long connectionLostMs = Long.MIN_VALUE;

  public Target(TargetInfo info) {
    this.info = info;
  }

  public TargetInfo info() {
    return info;
  }

  public boolean leaving() {
    return leaving;
  }

  public long leavingSinceMs() {
    return leavingSinceMs;
  }

  public void markLeaving(long nowMs) {
    leaving = true;
    leavingSinceMs = nowMs;
  }

  /** Whether nothing may be sent to the target, because its failure domain is evacuated. */
  public boolean evacuated() {
    return evacuated;
  }

  void setEvacuated(boolean value) {
    evacuated = value;
  }

  /** Whether requests may be sent to the target now or later. */
  public boolean serves() {
    return !leaving && !evacuated;
  }

  public int running() {
    return running;
  }

  /** Whether generations of this instance run here or have reserved memory. */
  public boolean hasTokens() {
    return tokens > 0;
  }

  /** Load that this instance has put on the target. */
  public TargetLoad load() {
    return new TargetLoad(info.id(), info.incarnation(), running, tokens, prefillTokens);
  }

  public void started(long expectedTokens, long promptTokens) {
    running++;
    tokens += expectedTokens;
    prefillTokens += promptTokens;
  }

  /** Removes the prompt tokens of a request whose prefill is done. */
  public void prefillDone(long promptTokens) {
    prefillTokens -= promptTokens;
  }

  /** Reserves memory for the copy of a generation; a negative number releases it. */
  public void reserve(long expectedTokens) {
    tokens += expectedTokens;
  }

  public void ended(long expectedTokens) {
    running--;
    tokens -= expectedTokens;
  }

  /** Records a failure caused by the target and doubles the next penalty. */
  public void failed(long nowMs) {
    penaltyUntilMs = nowMs + penaltyMs;
    penaltyMs = Math.min(2 * penaltyMs, MAX_PENALTY_MS);
  }

  public void succeeded() {
    penaltyMs = MIN_PENALTY_MS;
    penaltyUntilMs = Long.MIN_VALUE;
  }

  /** Records that the target wants no requests from this instance until a time. */
  public void rejectsUntil(long untilMs) {
    rejectsUntilMs = Math.max(rejectsUntilMs, untilMs);
  }

  public long rejectsUntilMs() {
    return rejectsUntilMs;
  }

  /** Whether requests may be sent to the target now. */
  public boolean accepts(long nowMs) {
    return serves() && nowMs >= rejectsUntilMs;
  }

  public boolean penalized(long nowMs) {
    return nowMs < penaltyUntilMs;
  }

  /** Records a heartbeat of this run, with the time at which an instance received it. */
  void heard(long receivedMs) {
    heardMs = Math.max(heardMs, receivedMs);
  }

  /** Records that a connection could not be established or broke off. */
  public void connectionLost(long nowMs) {
    connectionLostMs = nowMs;
  }

  /**
   * Whether this run is known to go on. Otherwise the target may have restarted at its address,
   * with another software version, and the heartbeats of the new run have not arrived yet.
   */
  public boolean confirmed(long nowMs) {
    return heardMs > connectionLostMs && nowMs - heardMs < CONFIRMED_FOR_MS;
  }
}
