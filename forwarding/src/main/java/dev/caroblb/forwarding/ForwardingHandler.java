package dev.caroblb.forwarding;

import dev.caroblb.core.Addressed;
import dev.caroblb.core.DutyHandler;
import dev.caroblb.core.InstanceId;
import dev.caroblb.core.Outlet;
import dev.caroblb.core.RefusalReason;
import dev.caroblb.routing.Route;
import dev.caroblb.routing.RoutingTable;
import dev.caroblb.routing.Workspace;
import java.util.List;
import java.util.Optional;
import java.util.random.RandomGenerator;

/** Decides what becomes of each request from its arrival to its final answer. */
public final class ForwardingHandler implements DutyHandler<ForwardingMessage> {
  private final ForwardingSettings settings;
  private final RandomGenerator random;
  private final ExchangeTable exchanges = new ExchangeTable();
  private final TargetPool pool;
  private final RetryBudget budget;
  private final CallEnds ends;
  private final Sender sender;
  private final AnswerFlow answers;
  private final Relocations relocations;
  private final StatedWork others = new StatedWork();
  private final CoordinatorLink coordinator;
  private final PlacementCoordinator coordination;
  private Optional<RoutingTable> table = Optional.empty();
  private boolean refuseNew;

  public ForwardingHandler(
      ForwardingSettings settings,
      TargetPort port,
      Outlet<Addressed<PeerMessage>> peers,
      CallObserver observer,
      RandomGenerator random) {
    this.settings = settings;
    this.random = random;
    PlacementLedger ledger = new PlacementLedger(PlacementCoordinator.STALE_MS);
    pool = new TargetPool(random, List.of(others, ledger));
    coordinator = new CoordinatorLink(peers);
    coordination = new PlacementCoordinator(peers, pool, ledger);
    budget =
        new RetryBudget(settings.retryRatio(), settings.retryWindowMs(), settings.retrySlack());
    ends = new CallEnds(exchanges, port, observer, coordinator);
    sender =
        new Sender(exchanges, settings.domain(), pool, coordinator, port, budget, observer, ends);
    answers = new AnswerFlow(port, observer, sender, ends);
    relocations = new Relocations(exchanges, pool, coordinator, port, sender, answers);
  }

  @Override
  public void handle(ForwardingMessage message, long nowMs) {
    if (changesWork(message)) {
      coordinator.touched();
    }
    if (message instanceof ForwardingMessage.OfAttempt ofAttempt) {
      exchanges
          .find(ofAttempt.call(), ofAttempt.attempt())
          .ifPresent(exchange -> progressed(exchange, ofAttempt, nowMs));
    } else if (message instanceof ForwardingMessage.Arrived arrived) {
      arrived(arrived.call(), nowMs);
    } else if (message instanceof ForwardingMessage.CallerGone gone) {
      exchanges.find(gone.call()).ifPresent(exchange -> ends.callerGone(exchange, nowMs));
    } else if (message instanceof ForwardingMessage.CallerReady ready) {
      exchanges.find(ready.call()).ifPresent(exchange -> answers.callerReady(exchange, nowMs));
    } else if (message instanceof ForwardingMessage.FromPeer fromPeer) {
      fromPeer(fromPeer.received().peer(), fromPeer.received().message(), nowMs);
    } else {
      changed(message, nowMs);
      sender.placeWaiting(nowMs);
      coordination.placeQueued(nowMs);
    }
  }

  /** Parts of answers, by far the most messages, change nothing that others are told. */
  private static boolean changesWork(ForwardingMessage message) {
    return !(message instanceof ForwardingMessage.FromPeer
        || message instanceof ForwardingMessage.Body
        || message instanceof ForwardingMessage.CallerReady
        || message instanceof ForwardingMessage.TargetAvailable);
  }

  private void progressed(Exchange exchange, ForwardingMessage.OfAttempt message, long nowMs) {
    if (message instanceof ForwardingMessage.Body body) {
      answers.body(exchange, body.part(), nowMs);
      relocations.consider(exchange, table, nowMs);
    } else if (message instanceof ForwardingMessage.Head head) {
      answers.head(exchange, head.head(), nowMs);
    } else if (message instanceof ForwardingMessage.Ended) {
      boolean broken = exchange.toldToStop() || exchange.framing().partial();
      if (!broken || !relocations.sourceLost(exchange, nowMs)) {
        answers.ended(exchange, nowMs);
      }
    } else if (message instanceof ForwardingMessage.Failed failed) {
      if (failed.sent() && relocations.sourceLost(exchange, nowMs)) {
        return;
      }
      answers.lost(exchange, failed.sent(), failed.cause(), nowMs);
    } else if (message instanceof ForwardingMessage.Moved moved) {
      relocations.moved(exchange, moved.last(), moved.outcome(), nowMs);
    }
  }

  private void fromPeer(InstanceId peer, PeerMessage message, long nowMs) {
    if (message instanceof PeerMessage.OwnWork own) {
      coordination.stated(peer, own, nowMs);
    } else if (message instanceof PeerMessage.PlacementAsked asked) {
      coordination.asked(peer, asked, nowMs);
    } else if (message instanceof PeerMessage.PlacementDropped dropped) {
      coordination.dropped(peer, dropped.ticket());
    } else if (message instanceof PeerMessage.PlacementQueued queued) {
      coordinator
          .queued(queued.ticket(), nowMs)
          .flatMap(exchanges::find)
          .ifPresent(exchange -> sender.queued(exchange, nowMs));
    } else if (message instanceof PeerMessage.PlacementGiven given) {
      coordinator
          .given(given, nowMs)
          .flatMap(exchanges::find)
          .ifPresent(exchange -> given(exchange, given, nowMs));
    } else if (message instanceof PeerMessage.OthersWork stated) {
      coordinator.stated(peer, nowMs);
      budget.shareWith(stated.instances());
      pool.shareWith(stated.instances());
      others.replace(stated.work(), nowMs);
    }
  }

  private void given(Exchange exchange, PeerMessage.PlacementGiven given, long nowMs) {
    Optional<Question> question =
        exchange.question().filter(asked -> asked.ticket() == given.ticket());
    if (question.isEmpty()) {
      return;
    }
    if (question.get().purpose() == PlacementNeed.Purpose.MOVE) {
      relocations.given(exchange, given.target());
    } else {
      sender.given(exchange, given.target(), given.backup(), nowMs);
    }
  }

  private void changed(ForwardingMessage message, long nowMs) {
    if (message instanceof ForwardingMessage.TableInstalled installed) {
      table = Optional.of(installed.table());
      pool.engines(installed.table().engines());
    } else if (message instanceof ForwardingMessage.TargetAvailable available) {
      pool.available(available.target());
    } else if (message instanceof ForwardingMessage.TargetLeaving leaving) {
      pool.leaving(leaving.target(), leaving.incarnation(), nowMs)
          .ifPresent(target -> relocations.moveAway(target, table, nowMs));
    } else if (message instanceof ForwardingMessage.TargetGone gone) {
      pool.gone(gone.target(), gone.incarnation());
    } else if (message instanceof ForwardingMessage.ContactsChanged contacts) {
      coordinator.follow(contacts.contacts());
      coordination.serving(contacts.serving());
    } else if (message instanceof ForwardingMessage.RefuseNew) {
      refuseNew = true;
    } else if (message instanceof ForwardingMessage.BreakOff) {
      for (Exchange exchange : exchanges.all()) {
        ends.giveUp(exchange, RefusalReason.STOPPING, "the instance ends", nowMs);
      }
    }
  }

  /** Number of requests that run; may be read from any thread. */
  public int running() {
    return exchanges.size();
  }

  private void arrived(ForwardCall call, long nowMs) {
    long number = table.map(RoutingTable::number).orElse(0L);
    Optional<Route> route = table.flatMap(t -> t.match(call.host(), call.path()));
    Optional<RefusalReason> refusal = refusal(call, route);
    if (refusal.isPresent()) {
      ends.refuse(call, refusal.get(), number);
      return;
    }
    Optional<Workspace> workspace = holder(call);
    int rank = workspace.flatMap(Workspace::rank).orElse(route.get().rank());
    String service = route.get().chooseService(random);
    Exchange exchange =
        new Exchange(call, route.get(), service, workspace.map(Workspace::name), rank, nowMs);
    exchanges.add(exchange);
    budget.request(service, nowMs);
    sender.first(exchange, nowMs);
  }

  private Optional<Workspace> holder(ForwardCall call) {
    return table.flatMap(t -> call.key().flatMap(t::holder));
  }

  private Optional<RefusalReason> refusal(ForwardCall call, Optional<Route> route) {
    if (table.isEmpty()) {
      return Optional.of(RefusalReason.NO_CONFIGURATION);
    }
    if (route.isEmpty()) {
      return Optional.of(RefusalReason.UNKNOWN_ROUTE);
    }
    boolean keyNeeded = table.get().needsKeys() && !route.get().open();
    if (keyNeeded && holder(call).isEmpty()) {
      return Optional.of(RefusalReason.UNKNOWN_KEY);
    }
    if (refuseNew) {
      return Optional.of(RefusalReason.DRAINING);
    }
    return exchanges.size() >= settings.maxCalls()
        ? Optional.of(RefusalReason.STREAM_LIMIT)
        : Optional.empty();
  }

  @Override
  public void tick(long nowMs) {
    for (Exchange exchange : exchanges.due(nowMs)) {
      if (nowMs >= exchange.deadlineMs()) {
        timedOut(exchange, nowMs);
      } else if (exchange.target().isEmpty()) {
        sender.due(exchange, nowMs);
        coordinator.touched();
      } else {
        relocations.due(exchange, nowMs);
      }
    }
    if (nowMs >= coordinator.nextMs()) {
      coordinator.tick(pool.ownWork(), nowMs);
    }
  }

  private void timedOut(Exchange exchange, long nowMs) {
    RefusalReason reason =
        exchange.runs() > 0 ? RefusalReason.DEADLINE_AFTER_START : RefusalReason.NO_TARGET;
    ends.giveUp(exchange, reason, "time limit", nowMs);
  }

  @Override
  public long nextTickMs() {
    return Math.min(exchanges.nextDueMs(), coordinator.nextMs());
  }
}
