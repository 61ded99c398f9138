package dev.caroblb.idempotency;

import dev.caroblb.core.CallRequest;
import dev.caroblb.core.InstanceId;
import dev.caroblb.core.Outlet;
import dev.caroblb.core.Refusal;
import dev.caroblb.core.RefusalReason;
import dev.caroblb.core.RetryReason;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;

/**
 * Entry side of the at-most-once protocol. Reserves the key before a call is dispatched, then
 * records the outcome or releases the key. Requests are resent with the same attempt until they are
 * answered or time out.
 */
final class EntryRole {
  /** Must exceed the commit latency of replicas that write to disk in three failure domains. */
  static final long RESEND_MS = 300;

  /** A waiting request is resent only to detect the loss of the leader. */
  static final long WAITING_RESEND_MS = 2_000;

  /** Timeout of a release that the caller waits for; covers three elections. */
  static final long RELEASE_TIMEOUT_MS = 7_500;

  /** Timeout of a release that no caller waits for. */
  static final long UNREPORTED_RELEASE_TIMEOUT_MS = 30_000;

  static final long RECORD_TIMEOUT_MS = 30_000;

  /**
   * Time after the deadline of a running call until its state is removed, if the streams duty has
   * not reported its end.
   */
  static final long RUNNING_GRACE_MS = 60_000;

  /**
   * Limits redirects between two resends, since two replicas with stale hints could redirect to
   * each other.
   */
  private static final int MAX_REDIRECTS = 3;

  private static final int MAX_CALLS = 20_000;

  private final InstanceId self;
  private final long incarnation;
  private final KeyGroups groups;
  private final GroupLeaders leaders;
  private final KeyMessenger messenger;
  private final DecisionQueue decisions;
  private final Outlet<RetryReason> retries;
  private final Map<Long, EntryCall> calls = new HashMap<>();
  private final UnsentAttempts unsent = new UnsentAttempts();

  EntryRole(
      KeyInstance instance,
      KeyMessenger messenger,
      DecisionQueue decisions,
      Outlet<RetryReason> retries) {
    this.self = instance.id();
    this.incarnation = instance.incarnation();
    this.groups = instance.groups();
    this.leaders = new GroupLeaders(instance.replicas());
    this.messenger = messenger;
    this.decisions = decisions;
    this.retries = retries;
  }

  void begin(CallRequest request, long nowMs) {
    if (calls.containsKey(request.id())) {
      return;
    }
    if (request.idempotencyKey().isEmpty()) {
      refuse(request.id(), Refusal.of(RefusalReason.KEY_REQUIRED));
      return;
    }
    Optional<CallKey> key = CallKey.parse(request.workspace(), request.idempotencyKey().get());
    if (key.isEmpty()) {
      String cause = "the idempotency key is not <unix ms>-<8 to 64 letters, digits or _.:->";
      refuse(request.id(), Refusal.of(RefusalReason.MALFORMED, cause));
      return;
    }
    if (request.deadlineMs() <= nowMs) {
      refuse(request.id(), Refusal.of(RefusalReason.DEADLINE_BEFORE_START));
      return;
    }
    if (calls.size() >= MAX_CALLS || decisions.size() >= MAX_CALLS) {
      refuse(request.id(), Refusal.of(RefusalReason.KEY_UNAVAILABLE));
      return;
    }
    Attempt attempt = new Attempt(self, incarnation, request.id());
    EntryCall call =
        new EntryCall(
            key.get(),
            attempt,
            groups.of(key.get()),
            Sha256.ofCall(request),
            EntryCall.Phase.RESERVING);
    calls.put(request.id(), call);
    call.startPhase(EntryCall.Phase.RESERVING, nowMs, request.deadlineMs());
    send(call, nowMs);
  }

  private void refuse(long call, Refusal refusal) {
    decisions.enqueue(new KeyDecision.Refused(call, refusal));
  }

  void finished(long id, StoredOutcome outcome, long nowMs) {
    EntryCall call = calls.get(id);
    if (call == null || call.phase != EntryCall.Phase.RUNNING) {
      return;
    }
    call.complete(outcome);
    call.startPhase(EntryCall.Phase.RECORDING, nowMs, nowMs + RECORD_TIMEOUT_MS);
    send(call, nowMs);
  }

  void nothingSent(long id, long nowMs) {
    EntryCall call = calls.get(id);
    if (call == null
        || call.phase == EntryCall.Phase.RECORDING
        || call.phase == EntryCall.Phase.RELEASING) {
      return;
    }
    release(call, nowMs, RELEASE_TIMEOUT_MS);
  }

  private void release(EntryCall call, long nowMs, long timeoutMs) {
    call.startPhase(EntryCall.Phase.RELEASING, nowMs, nowMs + timeoutMs);
    send(call, nowMs);
  }

  void outcomeLost(long id) {
    EntryCall call = calls.get(id);
    if (call != null && call.phase == EntryCall.Phase.RUNNING) {
      calls.remove(id);
    }
  }

  void handleReply(InstanceId from, KeyMessage.Reply reply, long nowMs) {
    Attempt attempt = reply.attempt();
    if (!attempt.entry().equals(self) || attempt.incarnation() != incarnation) {
      return;
    }
    EntryCall call = calls.get(attempt.call());
    if (reply instanceof KeyMessage.NotLeader notLeader) {
      handleNotLeader(Optional.ofNullable(call), from, notLeader, nowMs);
    } else if (reply instanceof KeyMessage.Waiting) {
      if (call != null && call.phase == EntryCall.Phase.RESERVING) {
        leaders.setLeader(call.group, from);
        call.waiting = true;
        call.nextSendMs = nowMs + WAITING_RESEND_MS;
      }
    } else if (reply instanceof KeyMessage.Answer answer) {
      handleAnswer(Optional.ofNullable(call), from, answer, nowMs);
    }
  }

  private void handleNotLeader(
      Optional<EntryCall> found, InstanceId from, KeyMessage.NotLeader reply, long nowMs) {
    if (found.isEmpty() || !isAwaiting(found.get(), reply.operation())) {
      return;
    }
    EntryCall call = found.get();
    leaders.tryAnother(call.group, from, reply.leader());
    if (call.redirects >= MAX_REDIRECTS || !from.equals(call.lastReplica)) {
      return;
    }
    call.redirects++;
    retries.offer(RetryReason.KEY_LEADER_CHANGED);
    send(call, nowMs);
  }

  private static boolean isAwaiting(EntryCall call, KeyMessage.Operation operation) {
    return call.phase.operation().filter(awaited -> awaited == operation).isPresent();
  }

  private void handleAnswer(
      Optional<EntryCall> found, InstanceId from, KeyMessage.Answer answer, long nowMs) {
    if (found.isEmpty()) {
      releaseLateGrant(answer, nowMs);
      return;
    }
    EntryCall call = found.get();
    if (!isAwaiting(call, answer.operation())) {
      return;
    }
    leaders.setLeader(call.group, from);
    switch (answer.operation()) {
      case RESERVE -> handleReserveAnswer(call, answer.result(), nowMs);
      case RECORD -> {
        calls.remove(call.attempt.call());
        boolean committed = answer.result() instanceof KeyResult.Recorded;
        decisions.enqueue(new KeyDecision.Recorded(call.attempt.call(), committed));
      }
      case RELEASE -> finishRelease(call, answer.result() instanceof KeyResult.Released);
    }
  }

  private void handleReserveAnswer(EntryCall call, KeyResult result, long nowMs) {
    long id = call.attempt.call();
    if (result instanceof KeyResult.Granted) {
      call.startPhase(EntryCall.Phase.RUNNING, nowMs, call.phaseDeadlineMs + RUNNING_GRACE_MS);
      decisions.enqueue(new KeyDecision.Granted(id));
      return;
    }
    removeUnsent(call);
    if (result instanceof KeyResult.Stored stored) {
      reportStored(id, stored.outcome());
    } else if (result instanceof KeyResult.Refused refused) {
      refuse(id, RefusalTexts.of(refused.reason()));
    } else {
      refuse(id, RefusalTexts.held());
    }
  }

  private void reportStored(long id, StoredOutcome outcome) {
    if (outcome.complete()) {
      decisions.enqueue(new KeyDecision.Stored(id, outcome));
      return;
    }
    refuse(id, RefusalTexts.outcomeNotStored(outcome.status()));
  }

  private void releaseLateGrant(KeyMessage.Answer answer, long nowMs) {
    Optional<CallKey> key = unsent.key(answer.attempt());
    if (key.isPresent() && answer.result() instanceof KeyResult.Granted) {
      releaseWithoutReport(key.get(), answer.attempt(), nowMs);
    }
  }

  /**
   * Releases the key without notifying the streams duty, to which the end of the call was already
   * reported.
   */
  private void releaseWithoutReport(CallKey key, Attempt attempt, long nowMs) {
    EntryCall call =
        new EntryCall(key, attempt, groups.of(key), new Hash128(0, 0), EntryCall.Phase.RELEASING);
    call.notifyStreams = false;
    calls.put(attempt.call(), call);
    release(call, nowMs, UNREPORTED_RELEASE_TIMEOUT_MS);
  }

  private void finishRelease(EntryCall call, boolean committed) {
    removeUnsent(call);
    if (call.notifyStreams) {
      decisions.enqueue(new KeyDecision.Released(call.attempt.call(), committed));
    }
  }

  /**
   * Removes a call that was not dispatched and remembers its attempt in case it is granted later.
   */
  private void removeUnsent(EntryCall call) {
    calls.remove(call.attempt.call());
    unsent.add(call.attempt, call.key);
  }

  private void send(EntryCall call, long nowMs) {
    Optional<KeyMessage.Request> request = call.request(nowMs);
    if (request.isEmpty()) {
      return;
    }
    call.lastReplica = leaders.leader(call.group);
    call.nextSendMs = nowMs + RESEND_MS;
    messenger.send(call.lastReplica, request.get());
  }

  void tick(long nowMs) {
    List<EntryCall> due = new ArrayList<>();
    for (EntryCall call : calls.values()) {
      if (nowMs >= call.phaseDeadlineMs || nowMs >= call.nextSendMs) {
        due.add(call);
      }
    }
    for (EntryCall call : due) {
      if (nowMs >= call.phaseDeadlineMs) {
        expire(call, nowMs);
        continue;
      }
      resend(call, nowMs);
    }
  }

  private void resend(EntryCall call, long nowMs) {
    if (call.phase == EntryCall.Phase.RUNNING) {
      call.nextSendMs = call.phaseDeadlineMs;
      return;
    }
    if (!call.waiting) {
      leaders.tryAnother(call.group, call.lastReplica, Optional.empty());
      retries.offer(RetryReason.KEY_LEADER_CHANGED);
    }
    call.redirects = 0;
    call.waiting = false;
    send(call, nowMs);
  }

  private void expire(EntryCall call, long nowMs) {
    long id = call.attempt.call();
    switch (call.phase) {
      case RESERVING -> {
        refuse(id, call.waiting ? RefusalTexts.held() : RefusalTexts.noAnswer());
        removeUnsent(call);
        releaseWithoutReport(call.key, call.attempt, nowMs);
      }
      case RUNNING -> calls.remove(id);
      case RECORDING -> {
        calls.remove(id);
        decisions.enqueue(new KeyDecision.Recorded(id, false));
      }
      case RELEASING -> {
        finishRelease(call, false);
        if (call.notifyStreams) {
          releaseWithoutReport(call.key, call.attempt, nowMs);
        }
      }
    }
  }

  /** Number of calls in progress. */
  int openCalls() {
    return calls.size();
  }
}
