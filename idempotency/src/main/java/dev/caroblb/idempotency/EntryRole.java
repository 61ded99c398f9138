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
 * The entry's side of calls that may not repeat: reserves before a call is dispatched, and records
 * or releases afterwards. Requests are sent again with the same attempt until they are answered or
 * their time has passed.
 */
final class EntryRole {
  /** Longer than a commit over disks in three failure domains. */
  static final long RESEND_MS = 300;

  /** A waiting request is sent again only for the case that the leader was lost. */
  static final long WAITING_RESEND_MS = 2_000;

  /** Time for a release, three elections long; the caller waits for it. */
  static final long RELEASE_LIMIT_MS = 7_500;

  /** Time for a release that nobody waits for. */
  static final long SILENT_RELEASE_LIMIT_MS = 30_000;

  static final long RECORD_LIMIT_MS = 30_000;

  /** Bounds the memory of a call about whose end streams say nothing. */
  static final long RUNNING_GRACE_MS = 60_000;

  /** A stale hint must not make two replicas send an entry back and forth. */
  private static final int MAX_REDIRECTS = 3;

  private static final int MAX_CALLS = 20_000;

  private final InstanceId self;
  private final long incarnation;
  private final KeyGroups groups;
  private final GroupRoutes routes;
  private final KeyPost post;
  private final DecisionQueue decisions;
  private final Outlet<RetryReason> retries;
  private final Map<Long, EntryCall> calls = new HashMap<>();
  private final UnsentAttempts unsent = new UnsentAttempts();

  EntryRole(
      KeyInstance instance, KeyPost post, DecisionQueue decisions, Outlet<RetryReason> retries) {
    this.self = instance.id();
    this.incarnation = instance.incarnation();
    this.groups = instance.groups();
    this.routes = new GroupRoutes(instance.replicas());
    this.post = post;
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
    call.enter(EntryCall.Phase.RESERVING, nowMs, request.deadlineMs());
    send(call, nowMs);
  }

  private void refuse(long call, Refusal refusal) {
    decisions.tell(new KeyDecision.Refused(call, refusal));
  }

  void finished(long id, StoredOutcome outcome, long nowMs) {
    EntryCall call = calls.get(id);
    if (call == null || call.phase != EntryCall.Phase.RUNNING) {
      return;
    }
    call.finish(outcome);
    call.enter(EntryCall.Phase.RECORDING, nowMs, nowMs + RECORD_LIMIT_MS);
    send(call, nowMs);
  }

  void nothingSent(long id, long nowMs) {
    EntryCall call = calls.get(id);
    if (call == null
        || call.phase == EntryCall.Phase.RECORDING
        || call.phase == EntryCall.Phase.RELEASING) {
      return;
    }
    release(call, nowMs, RELEASE_LIMIT_MS);
  }

  private void release(EntryCall call, long nowMs, long limitMs) {
    call.enter(EntryCall.Phase.RELEASING, nowMs, nowMs + limitMs);
    send(call, nowMs);
  }

  void outcomeLost(long id) {
    EntryCall call = calls.get(id);
    if (call != null && call.phase == EntryCall.Phase.RUNNING) {
      calls.remove(id);
    }
  }

  void reply(InstanceId from, KeyMessage.Reply reply, long nowMs) {
    Attempt attempt = reply.attempt();
    if (!attempt.entry().equals(self) || attempt.incarnation() != incarnation) {
      return;
    }
    EntryCall call = calls.get(attempt.call());
    if (reply instanceof KeyMessage.Elsewhere elsewhere) {
      elsewhere(Optional.ofNullable(call), from, elsewhere, nowMs);
    } else if (reply instanceof KeyMessage.Waiting) {
      if (call != null && call.phase == EntryCall.Phase.RESERVING) {
        routes.learn(call.group, from);
        call.waiting = true;
        call.nextSendMs = nowMs + WAITING_RESEND_MS;
      }
    } else if (reply instanceof KeyMessage.Answer answer) {
      answered(Optional.ofNullable(call), from, answer, nowMs);
    }
  }

  private void elsewhere(
      Optional<EntryCall> found, InstanceId from, KeyMessage.Elsewhere reply, long nowMs) {
    if (found.isEmpty() || !asks(found.get(), reply.step())) {
      return;
    }
    EntryCall call = found.get();
    routes.moveOn(call.group, from, reply.leader());
    if (call.redirects >= MAX_REDIRECTS || !from.equals(call.asked)) {
      return;
    }
    call.redirects++;
    retries.offer(RetryReason.KEY_LEADER_CHANGED);
    send(call, nowMs);
  }

  private static boolean asks(EntryCall call, KeyMessage.Step step) {
    return call.phase.step().filter(s -> s == step).isPresent();
  }

  private void answered(
      Optional<EntryCall> found, InstanceId from, KeyMessage.Answer answer, long nowMs) {
    if (found.isEmpty()) {
      releaseLateGrant(answer, nowMs);
      return;
    }
    EntryCall call = found.get();
    if (!asks(call, answer.step())) {
      return;
    }
    routes.learn(call.group, from);
    switch (answer.step()) {
      case RESERVE -> reserveAnswered(call, answer.result(), nowMs);
      case RECORD -> {
        calls.remove(call.attempt.call());
        boolean committed = answer.result() instanceof KeyResult.Recorded;
        decisions.tell(new KeyDecision.Recorded(call.attempt.call(), committed));
      }
      case RELEASE -> endRelease(call, answer.result() instanceof KeyResult.Released);
    }
  }

  private void reserveAnswered(EntryCall call, KeyResult result, long nowMs) {
    long id = call.attempt.call();
    if (result instanceof KeyResult.Granted) {
      call.enter(EntryCall.Phase.RUNNING, nowMs, call.endsAtMs + RUNNING_GRACE_MS);
      decisions.tell(new KeyDecision.Granted(id));
      return;
    }
    end(call);
    if (result instanceof KeyResult.Stored stored) {
      tellStored(id, stored.outcome());
    } else if (result instanceof KeyResult.Refused refused) {
      refuse(id, RefusalTexts.of(refused.reason()));
    } else {
      refuse(id, RefusalTexts.held());
    }
  }

  private void tellStored(long id, StoredOutcome outcome) {
    if (outcome.complete()) {
      decisions.tell(new KeyDecision.Stored(id, outcome));
      return;
    }
    refuse(id, RefusalTexts.notKept(outcome.status()));
  }

  private void releaseLateGrant(KeyMessage.Answer answer, long nowMs) {
    Optional<CallKey> key = unsent.key(answer.attempt());
    if (key.isPresent() && answer.result() instanceof KeyResult.Granted) {
      releaseSilently(key.get(), answer.attempt(), nowMs);
    }
  }

  /** Frees the key without telling streams, which have already been told the end of the call. */
  private void releaseSilently(CallKey key, Attempt attempt, long nowMs) {
    EntryCall call =
        new EntryCall(key, attempt, groups.of(key), new Hash128(0, 0), EntryCall.Phase.RELEASING);
    call.reported = false;
    calls.put(attempt.call(), call);
    release(call, nowMs, SILENT_RELEASE_LIMIT_MS);
  }

  private void endRelease(EntryCall call, boolean committed) {
    end(call);
    if (call.reported) {
      decisions.tell(new KeyDecision.Released(call.attempt.call(), committed));
    }
  }

  /** Ends a call of which nothing was written to a target. */
  private void end(EntryCall call) {
    calls.remove(call.attempt.call());
    unsent.add(call.attempt, call.key);
  }

  private void send(EntryCall call, long nowMs) {
    Optional<KeyMessage.Request> request = call.request(nowMs);
    if (request.isEmpty()) {
      return;
    }
    call.asked = routes.leader(call.group);
    call.nextSendMs = nowMs + RESEND_MS;
    post.send(call.asked, request.get());
  }

  void tick(long nowMs) {
    List<EntryCall> due = new ArrayList<>();
    for (EntryCall call : calls.values()) {
      if (nowMs >= call.endsAtMs || nowMs >= call.nextSendMs) {
        due.add(call);
      }
    }
    for (EntryCall call : due) {
      if (nowMs >= call.endsAtMs) {
        expire(call, nowMs);
        continue;
      }
      sendAgain(call, nowMs);
    }
  }

  private void sendAgain(EntryCall call, long nowMs) {
    if (call.phase == EntryCall.Phase.RUNNING) {
      call.nextSendMs = call.endsAtMs;
      return;
    }
    if (!call.waiting) {
      routes.moveOn(call.group, call.asked, Optional.empty());
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
        end(call);
        releaseSilently(call.key, call.attempt, nowMs);
      }
      case RUNNING -> calls.remove(id);
      case RECORDING -> {
        calls.remove(id);
        decisions.tell(new KeyDecision.Recorded(id, false));
      }
      case RELEASING -> {
        endRelease(call, false);
        if (call.reported) {
          releaseSilently(call.key, call.attempt, nowMs);
        }
      }
    }
  }

  /** Number of calls that are not at their end. */
  int open() {
    return calls.size();
  }
}
