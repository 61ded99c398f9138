package dev.caroblb.http;

import java.util.HashMap;
import java.util.LinkedHashSet;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import org.apache.hc.core5.io.CloseMode;
import org.apache.hc.core5.reactor.IOSession;

/**
 * The open connections of a listener. Those without a request in progress are bounded: beyond their
 * maximum one of them is closed, on which the caller has not sent a whole request. Otherwise idle
 * callers would take all descriptors of the machine.
 */
final class CallerSessions {
  private final int maxWaiting;
  private final Map<String, CallerSession> open = new HashMap<>();

  /** Connections that are idle or closing, or whose first bytes were not read; oldest first. */
  private final Set<CallerSession> idle = new LinkedHashSet<>();

  /** Connections on which a part of a head has arrived. An ordinary head arrives at once. */
  private final Set<CallerSession> inHead = new LinkedHashSet<>();

  CallerSessions(int maxWaiting) {
    this.maxWaiting = maxWaiting;
  }

  synchronized void add(CallerSession session) {
    open.put(session.getId(), session);
  }

  /** The session of a connection, given one of the sessions of HttpCore that wrap it. */
  synchronized CallerSession find(IOSession wrapping) {
    return Optional.ofNullable(open.get(wrapping.getId())).orElseThrow();
  }

  synchronized void remove(CallerSession session) {
    open.remove(session.getId());
    requestBegan(session);
  }

  synchronized void requestBegan(CallerSession session) {
    idle.remove(session);
    inHead.remove(session);
  }

  synchronized void headBegan(CallerSession session) {
    if (idle.remove(session)) {
      inHead.add(session);
    }
  }

  /**
   * Notes that a connection has no request in progress; closes another one if they are too many.
   */
  void waits(CallerSession session) {
    Optional<CallerSession> closed = Optional.empty();
    synchronized (this) {
      if (!open.containsKey(session.getId()) || !idle.add(session)) {
        return;
      }
      if (idle.size() + inHead.size() > maxWaiting) {
        Set<CallerSession> from = inHead.isEmpty() ? idle : inHead;
        closed = Optional.of(from.iterator().next());
      }
    }
    closed.ifPresent(oldest -> oldest.close(CloseMode.IMMEDIATE));
  }
}
