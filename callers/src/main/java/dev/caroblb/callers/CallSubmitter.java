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

/** What new calls and resumes have in common on their way to the duties that run them. */
record CallEntrance(
    AdmissionGate gate,
    CallSink calls,
    CallerConnections connections,
    RefusalCounter refusals,
    MillisClock clock) {
  /** Takes a place for a decoded request and hands it over, or tells the caller the refusal. */
  <R> void enter(
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
    Answers.refuse(reply, refusal, refusals);
  }
}
