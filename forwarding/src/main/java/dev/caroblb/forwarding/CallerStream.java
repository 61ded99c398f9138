package dev.caroblb.forwarding;

import dev.caroblb.core.Payload;
import java.util.ArrayDeque;
import java.util.List;
import java.util.Optional;

/**
 * A stream on its way to the caller. Its head goes with the first event: a stream without events
 * can still end with a complete response.
 */
final class CallerStream {
  /** Bytes buffered for a slow caller; above this limit the target is not read either. */
  private static final int MAX_PENDING_BYTES = 1 << 20;

  private final CallerPort port;
  private final ArrayDeque<Payload> pendingEvents = new ArrayDeque<>();
  private Optional<ResponseHead> head = Optional.empty();
  private int pendingBytes;
  private boolean begun;

  CallerStream(CallerPort port) {
    this.port = port;
  }

  /**
   * Sets the head, unless the caller already got one.
   *
   * @param continued whether the stream continues from copied memory; it keeps the head of its
   *     first engine then
   */
  void setHead(ResponseHead received, boolean continued) {
    if (head.isEmpty() || !continued) {
      head = Optional.of(received);
    }
  }

  /** Whether the caller got the head, so that it can no longer get another response. */
  boolean begun() {
    return begun;
  }

  /** Bytes of complete events that the caller has not read yet. */
  int pendingBytes() {
    return pendingBytes;
  }

  /**
   * Forwards events, or buffers them until the caller reads; returns false if the buffer is full.
   */
  boolean forward(Payload events) {
    if (events.size() > 0) {
      if (!begun) {
        begun = true;
        port.begin(head.orElseThrow());
      }
      pendingEvents.addLast(events);
      pendingBytes += events.size();
    }
    return flush() || pendingBytes <= MAX_PENDING_BYTES;
  }

  /** Ends the stream with the events that are still buffered. */
  void complete() {
    List<Payload> rest = List.copyOf(pendingEvents);
    pendingEvents.clear();
    pendingBytes = 0;
    port.complete(rest);
  }

  /** Writes buffered events to the caller; returns true if none is left. */
  boolean flush() {
    while (!pendingEvents.isEmpty()) {
      if (!port.write(pendingEvents.peekFirst())) {
        return false;
      }
      pendingBytes -= pendingEvents.removeFirst().size();
    }
    return true;
  }
}
