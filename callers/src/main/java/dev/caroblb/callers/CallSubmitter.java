package dev.caroblb.callers;

import dev.caroblb.core.MillisClock;
import dev.caroblb.core.Outlet;
import dev.caroblb.core.Refusal;
import dev.caroblb.core.RefusalReason;
import dev.caroblb.http.Reply;
import dev.caroblb.streams.CallerEvent;
import io.vavr.control.Either;
import java.util.Optional;
import java.util.function.BiFunction;
import java.util.function.ToLongFunction;

/** Submits new calls and resumes to the duties that run them. */
record CallSubmitter(
    AdmissionGate gate,
    CallSink calls,
    CallerConnections connections,
    RefusalCounter refusals,
    MillisClock clock) {
  /**
   * Reserves a stream for a decoded request and hands the request over, or responds with the
   * refusal.
   */
  <R> void submit(
      Either<Refusal, R> decoded,
      ToLongFunction<R> id,
      BiFunction<R, Outlet<CallerEvent>, Optional<Refusal>> handOver,
      Reply reply) {
    if (decoded.isLeft()) {
      refuse(reply, decoded.getLeft());
      return;
    }
    R request = decoded.get();
    Optional<CallerConnection> connection = connections.open(id.applyAsLong(request), reply);
    if (connection.isEmpty()) {
      refuse(reply, Refusal.of(RefusalReason.STREAM_LIMIT));
      return;
    }
    handOver.apply(request, connection.get()).ifPresent(connection.get()::refuse);
  }

  private void refuse(Reply reply, Refusal refusal) {
    Responses.refuse(reply, refusal, refusals);
  }
}
