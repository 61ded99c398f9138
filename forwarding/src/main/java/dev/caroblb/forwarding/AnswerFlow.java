package dev.caroblb.forwarding;

import dev.caroblb.core.LogLine;
import dev.caroblb.core.Payload;
import dev.caroblb.core.RefusalReason;
import dev.caroblb.core.RetryReason;

/** Passes answers of targets on to callers and decides what follows from their failures. */
final class AnswerFlow {
  private static final System.Logger LOGGER = System.getLogger(AnswerFlow.class.getName());

  private final TargetPort port;
  private final CallObserver observer;
  private final Sender sender;
  private final CallEnds ends;

  AnswerFlow(TargetPort port, CallObserver observer, Sender sender, CallEnds ends) {
    this.port = port;
    this.observer = observer;
    this.sender = sender;
    this.ends = ends;
  }

  void head(Exchange exchange, AnswerHead head, long nowMs) {
    if (head.refused() && exchange.goesOn()) {
      targetFailed(exchange, "the copied memory is gone", nowMs);
      return;
    }
    if (head.refused()) {
      exchange.didNotRun();
      sender.again(exchange, RetryReason.TARGET_REFUSED, RefusalReason.TARGET_REFUSED, nowMs);
      return;
    }
    boolean continues = !exchange.begun() || (head.success() && head.stream());
    if (!head.genuine() || !continues) {
      targetFailed(exchange, "unusable answer with status " + head.status(), nowMs);
      return;
    }
    if (head.serverError() && sender.mayRepeat(exchange, nowMs)) {
      targetFailed(exchange, "status " + head.status(), nowMs);
      return;
    }
    exchange.setHead(head);
    if (head.success() && head.stream() && !exchange.begun()) {
      exchange.setBegun();
      exchange.promptRead();
      exchange.call().port().begin(head);
    }
  }

  void body(Exchange exchange, Payload part, long nowMs) {
    if (exchange.begun()) {
      events(exchange, part, nowMs);
    } else if (!exchange.collect(part)) {
      targetFailed(exchange, "answer too large", nowMs);
    } else {
      port.acknowledge(exchange.call().id(), exchange.attempt());
    }
  }

  private void events(Exchange exchange, Payload part, long nowMs) {
    Payload events = exchange.framing().add(part);
    if (exchange.framing().overLimit()) {
      targetFailed(exchange, "event too large", nowMs);
      return;
    }
    if (events.size() > 0) {
      long pause = exchange.partAt(nowMs);
      if (pause == 0) {
        observer.answered(nowMs - exchange.arrivedMs());
      } else {
        observer.paused(pause);
      }
    }
    if (exchange.forward(events)) {
      port.acknowledge(exchange.call().id(), exchange.attempt());
    }
  }

  void callerReady(Exchange exchange, long nowMs) {
    if (!exchange.flush()) {
      return;
    }
    if (exchange.targetEnded()) {
      completed(exchange, nowMs);
      return;
    }
    port.acknowledge(exchange.call().id(), exchange.attempt());
  }

  void ended(Exchange exchange, long nowMs) {
    if (!exchange.begun()) {
      answerWhole(exchange, nowMs);
      return;
    }
    if (exchange.framing().partial()) {
      targetFailed(exchange, "stream ended within an event", nowMs);
      return;
    }
    exchange.setTargetEnded();
    if (exchange.flush()) {
      completed(exchange, nowMs);
    }
  }

  private void completed(Exchange exchange, long nowMs) {
    exchange.target().ifPresent(Target::succeeded);
    exchange.call().port().complete();
    ends.finish(exchange, "completed", "", nowMs);
  }

  private void answerWhole(Exchange exchange, long nowMs) {
    if (exchange.head().isEmpty()) {
      targetFailed(exchange, "no head", nowMs);
      return;
    }
    AnswerHead head = exchange.head().get();
    if (head.promisesNotRun()) {
      targetFailed(exchange, "status " + head.status() + " of a run", nowMs);
      return;
    }
    if (!head.serverError()) {
      exchange.target().ifPresent(Target::succeeded);
    }
    observer.answered(nowMs - exchange.arrivedMs());
    exchange.call().port().answer(head, exchange.answer());
    ends.finish(exchange, "answered", "status " + head.status(), nowMs);
  }

  /** The attempt ended without a whole answer. */
  void lost(Exchange exchange, boolean sent, String cause, long nowMs) {
    if (sent || exchange.goesOn()) {
      targetFailed(exchange, cause, nowMs);
      return;
    }
    exchange.didNotRun();
    exchange.target().ifPresent(target -> target.failed(nowMs));
    sender.again(exchange, RetryReason.CONNECT_FAILED, RefusalReason.TARGET_UNREACHABLE, nowMs);
  }

  /** The request may have run, and its answer is not to be had from this attempt. */
  void targetFailed(Exchange exchange, String cause, long nowMs) {
    exchange.target().ifPresent(target -> target.failed(nowMs));
    boolean repeat = sender.mayRepeat(exchange, nowMs);
    LOGGER.log(
        System.Logger.Level.INFO,
        LogLine.of("forwarding.failed")
            .with("request", exchange.call().requestId())
            .with("target", exchange.target().map(t -> t.info().id().name()).orElse("none"))
            .with("cause", cause)
            .with("again", repeat)
            .toString());
    if (!repeat) {
      ends.giveUp(exchange, RefusalReason.CONNECTION_LOST, cause, nowMs);
      return;
    }
    RetryReason reason =
        exchange.begun() ? RetryReason.STREAM_CONTINUED : RetryReason.TARGET_FAILED;
    sender.again(exchange, reason, RefusalReason.CONNECTION_LOST, nowMs);
  }
}
