package dev.caroblb.http;

import dev.caroblb.core.MemoryAccount;
import dev.caroblb.core.SystemMillisClock;
import java.util.Optional;

/**
 * Memory that a listener uses for request bodies and for the output of slow callers.
 *
 * @param account common account of the listeners of a process
 * @param shortBodyBytes largest declared length, in bytes, of bodies that are read also when the
 *     account is full
 * @param shortLimitBytes use of the account from which on short requests are rejected, too
 * @param pauseTimeoutMs time in milliseconds for which a body is not read on while the account is
 *     full; its request is rejected after it
 * @param bodies the bodies that have begun to arrive
 */
public record ListenerMemory(
    MemoryAccount account,
    int shortBodyBytes,
    long shortLimitBytes,
    long pauseTimeoutMs,
    BegunBodies bodies) {
  private static final int MAX_BODIES = 256;

  /**
   * With bodies of its own.
   *
   * @param maxBodies maximum number of bodies that arrive at the same time
   */
  public ListenerMemory(
      MemoryAccount account,
      int shortBodyBytes,
      long shortLimitBytes,
      long pauseTimeoutMs,
      int maxBodies) {
    this(
        account,
        shortBodyBytes,
        shortLimitBytes,
        pauseTimeoutMs,
        new BegunBodies(new SystemMillisClock(), maxBodies));
  }

  /** Without a bound for short requests. */
  public ListenerMemory(MemoryAccount account, int shortBodyBytes, long pauseTimeoutMs) {
    this(account, shortBodyBytes, Long.MAX_VALUE, pauseTimeoutMs, MAX_BODIES);
  }

  /** Without a bound. */
  static ListenerMemory unbounded() {
    return new ListenerMemory(
        MemoryAccount.unbounded(), 0, Long.MAX_VALUE, Long.MAX_VALUE, Integer.MAX_VALUE);
  }

  /** Whether a request may begin, given its declared length; negative if it is not declared. */
  boolean admits(boolean hasBody, long declaredBytes) {
    reclaim();
    if (hasBody && bodies.full()) {
      return false;
    }
    if (hasBody && !isShort(declaredBytes)) {
      return account.admitsNew();
    }
    return account.usedBytes() < shortLimitBytes;
  }

  boolean isShort(long declaredBytes) {
    return declaredBytes >= 0 && declaredBytes <= shortBodyBytes;
  }

  /** Gives up bodies that have stalled, one for each call, while memory or places are short. */
  void reclaim() {
    if (account.nearlyFull() || bodies.full()) {
      Optional<RequestBody> stalled = bodies.takeStalled();
      stalled.ifPresent(RequestBody::giveUp);
    }
  }
}
