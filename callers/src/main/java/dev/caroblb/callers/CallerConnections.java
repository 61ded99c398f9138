package dev.caroblb.callers;

import dev.caroblb.http.Reply;
import java.util.Optional;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.concurrent.atomic.AtomicLong;

/** Limits the number of open calls and assigns their ids. */
final class CallerConnections {
  private final int maxOpen;
  private final CallSink calls;
  private final RefusalCounter refusals;
  private final AtomicInteger open = new AtomicInteger();
  private final AtomicLong lastId = new AtomicLong();

  CallerConnections(int maxOpen, CallSink calls, RefusalCounter refusals) {
    this.maxOpen = maxOpen;
    this.calls = calls;
    this.refusals = refusals;
  }

  long nextId() {
    return lastId.incrementAndGet();
  }

  /** Number of calls whose response is not complete. */
  int open() {
    return open.get();
  }

  /** Reserves a stream for a call; empty if the limit is reached. */
  Optional<CallerConnection> open(long id, Reply reply) {
    if (open.incrementAndGet() > maxOpen) {
      open.decrementAndGet();
      return Optional.empty();
    }
    CallerConnection connection =
        new CallerConnection(reply, refusals, () -> open.decrementAndGet());
    reply.onWritable(() -> calls.callerWritable(id));
    reply.onDisconnect(
        () -> {
          if (connection.close()) {
            calls.callerDisconnected(id);
          }
        });
    return Optional.of(connection);
  }
}
