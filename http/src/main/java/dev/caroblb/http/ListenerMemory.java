package dev.caroblb.http;

import dev.caroblb.core.MemoryAccount;

/**
 * Memory that a listener uses for request bodies and for the output of slow callers.
 *
 * @param account common account of the listeners of a process
 * @param exemptBodyBytes largest declared length, in bytes, of bodies that are read also when the
 *     account is full; messages on which the operation depends are short
 * @param pauseTimeoutMs time in milliseconds for which a body is not read on while the account is
 *     full; its request is rejected after it
 */
public record ListenerMemory(MemoryAccount account, int exemptBodyBytes, long pauseTimeoutMs) {
  /** Without a bound. */
  static ListenerMemory unbounded() {
    return new ListenerMemory(MemoryAccount.unbounded(), 0, Long.MAX_VALUE);
  }

  /** Whether a request may begin, given its declared length; negative if it is not declared. */
  boolean admits(boolean hasBody, long declaredBytes) {
    if (!hasBody) {
      return exemptBodyBytes > 0 || !account.full();
    }
    return exempt(declaredBytes) || account.admitsNew();
  }

  boolean exempt(long declaredBytes) {
    return declaredBytes >= 0 && declaredBytes <= exemptBodyBytes;
  }
}
