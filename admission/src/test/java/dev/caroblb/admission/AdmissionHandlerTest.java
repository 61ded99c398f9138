package dev.caroblb.admission;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertNotEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import dev.caroblb.core.CallClass;
import dev.caroblb.core.FailureDomain;
import dev.caroblb.core.RefusalKind;
import dev.caroblb.core.RefusalReason;
import dev.caroblb.core.RetryReason;
import java.util.ArrayList;
import java.util.Collections;
import java.util.HashSet;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.IntRange;
import net.jqwik.api.constraints.Size;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;

class AdmissionHandlerTest {
  private static final long FAR_DEADLINE_MS = 1_000_000;

  private final AdmissionHarness harness = new AdmissionHarness(4, AdmissionSettings.defaults());

  private static long oldest(AdmissionHarness harness) {
    return Collections.min(harness.running);
  }

  /** Guards against calls that get no answer, or both a dispatch and a refusal. */
  @Property(seed = "21", tries = 300)
  void everyCallIsAnsweredOnce(
      @ForAll @IntRange(min = 1, max = 6) int slots,
      @ForAll @Size(max = 200) List<@IntRange(min = 0, max = 9) Integer> steps) {
    AdmissionHarness admission = new AdmissionHarness(slots, new AdmissionSettings(4, 3, 0.1, 3));
    Set<Long> failed = new HashSet<>();
    int submitted = 0;
    for (int step : steps) {
      if (step < 5) {
        CallClass callClass = step < 2 ? CallClass.LONG : CallClass.SHORT;
        admission.submit("ws" + step, callClass, admission.nowMs + 400L * (step + 1));
        submitted++;
      } else if (step < 7 && !admission.running.isEmpty()) {
        admission.end(oldest(admission));
      } else if (step == 7 && !admission.running.isEmpty()) {
        long call = oldest(admission);
        admission.running.remove(call);
        failed.add(call);
        FailureDomain domain = new FailureDomain("a");
        admission.send(
            new AdmissionMessage.DispatchFailed(call, RetryReason.CONNECT_FAILED, domain));
      } else {
        admission.advance(100);
      }
    }
    while (!admission.running.isEmpty() || admission.handler.waiting() > 0) {
      admission.advance(200);
      new ArrayList<>(admission.running).forEach(admission::end);
    }
    admission.advance(10_000);
    Set<Long> ended = new HashSet<>();
    admission.dispatched.forEach(dispatch -> ended.add(dispatch.request().id()));
    Set<Long> refused = new HashSet<>();
    for (CallRefused refusal : admission.refused) {
      assertTrue(refused.add(refusal.request().id()), "refused twice");
      boolean dispatched = ended.contains(refusal.request().id());
      assertTrue(!dispatched || failed.contains(refusal.request().id()), "refused and dispatched");
    }
    ended.addAll(refused);
    assertEquals(submitted, ended.size());
  }

  /** Guards against a queue that grows beyond its bound under load. */
  @Property(seed = "22", tries = 100)
  void queueBoundHolds(@ForAll @IntRange(min = 1, max = 20) int bound) {
    AdmissionHarness admission = new AdmissionHarness(2, new AdmissionSettings(bound, 5, 0.1, 3));
    for (int i = 0; i < 100; i++) {
      admission.submit("ws", CallClass.SHORT, FAR_DEADLINE_MS);
      assertTrue(admission.handler.waiting() <= bound);
    }
    assertEquals(98 - bound, admission.counts.refusals(RefusalReason.BACKLOG_FULL));
  }

  /** Guards against large workspaces that take the share of a small one. */
  @Property(seed = "23", tries = 50)
  void smallWorkspaceKeepsItsShare(@ForAll @IntRange(min = 2, max = 5) int large) {
    AdmissionHarness admission = new AdmissionHarness(4, AdmissionSettings.defaults());
    int small = 0;
    for (int round = 0; round < 600; round++) {
      for (int i = 0; i < large; i++) {
        admission.submit("large" + i, CallClass.SHORT, FAR_DEADLINE_MS);
        admission.submit("large" + i, CallClass.SHORT, FAR_DEADLINE_MS);
      }
      admission.submit("small", CallClass.SHORT, FAR_DEADLINE_MS);
      admission.end(oldest(admission));
    }
    for (Dispatch dispatch : admission.dispatched) {
      small += dispatch.request().workspace().name().equals("small") ? 1 : 0;
    }
    int fair = admission.dispatched.size() / (large + 1);
    assertTrue(small >= fair * 0.9, "placed " + small + " calls, fair share is " + fair);
  }

  @Nested
  class WhenThereIsCapacity {
    /** Guards against a delay by admission while there is capacity. */
    @Test
    void dispatchesAtOnce() {
      harness.submit("ws", CallClass.LONG, FAR_DEADLINE_MS);
      assertEquals(1, harness.dispatched.size());
    }
  }

  @Nested
  class WhenThereIsNoCapacity {
    /** Guards against long calls that starve behind a steady load of short ones. */
    @Test
    void longCallsGetAQuarter() {
      for (int i = 0; i < 40; i++) {
        harness.submit("ws", CallClass.LONG, FAR_DEADLINE_MS);
      }
      for (int i = 0; i < 200; i++) {
        harness.submit("ws", CallClass.SHORT, FAR_DEADLINE_MS);
        harness.end(oldest(harness));
      }
      long longs =
          harness.dispatched.stream()
              .filter(dispatch -> dispatch.request().policy().callClass() == CallClass.LONG)
              .count();
      assertTrue(longs >= 40, "long calls dispatched: " + longs);
    }

    /** Guards against a dispatch after the deadline, which wastes capacity. */
    @Test
    void refusesExpiredCalls() {
      for (int i = 0; i < 5; i++) {
        harness.submit("ws", CallClass.SHORT, i < 4 ? FAR_DEADLINE_MS : 500);
      }
      harness.advance(600);
      harness.end(oldest(harness));
      assertEquals(4, harness.dispatched.size());
      assertEquals(1, harness.counts.refusals(RefusalReason.DEADLINE_BEFORE_START));
    }

    /** Guards against a workspace that holds more calls than its limit. */
    @Test
    void limitsConcurrentCalls() {
      for (int i = 0; i < 7; i++) {
        harness.submit("ws", CallClass.SHORT, FAR_DEADLINE_MS, new WorkspaceShare(1, 6), true);
      }
      assertEquals(1, harness.counts.refusals(RefusalReason.WORKSPACE_LIMIT));
      assertTrue(harness.refused.get(0).refusal().retryAfterMs() > 0);
    }
  }

  @Nested
  class WhenACallFails {
    private final FailureDomain domain = new FailureDomain("a");

    private void fail(long call, RetryReason reason) {
      harness.running.remove(call);
      harness.send(new AdmissionMessage.DispatchFailed(call, reason, domain));
    }

    /** Guards against a retry in the failure domain that just failed. */
    @Test
    void avoidsItsFailureDomain() {
      fail(harness.submit("ws", CallClass.SHORT, FAR_DEADLINE_MS), RetryReason.CONNECT_FAILED);
      harness.advance(2_000);
      assertEquals(Optional.of(domain), harness.placeCalls.get(1).avoid());
      assertEquals(2, harness.dispatched.size());
      assertEquals(1, harness.counts.retries(RetryReason.CONNECT_FAILED));
    }

    /** Guards against a second run of a call that must not be repeated. */
    @Test
    void doesNotRepeatWhatMayHaveRun() {
      long call =
          harness.submit("ws", CallClass.SHORT, FAR_DEADLINE_MS, new WorkspaceShare(1, 10), false);
      fail(call, RetryReason.LOST_BEFORE_FIRST_TOKEN);
      assertEquals(RefusalKind.OUTCOME_UNKNOWN, harness.refused.get(0).refusal().reason().kind());
    }

    /** Guards against reporting "not run" for a call whose first attempt may have run. */
    @Test
    void doesNotReportNotRunWhenARetryExpires() {
      long call = harness.submit("ws", CallClass.SHORT, 5_000);
      harness.slots = 0;
      fail(call, RetryReason.LOST_BEFORE_FIRST_TOKEN);
      harness.advance(6_000);
      assertNotEquals(RefusalKind.NOT_RUN, harness.refused.get(0).refusal().reason().kind());
    }

    /** Guards against retries that amplify an overload. */
    @Test
    void retriesStayWithinTheBudget() {
      for (int i = 0; i < 300; i++) {
        long call = harness.submit("ws", CallClass.SHORT, FAR_DEADLINE_MS);
        fail(call, RetryReason.CONNECT_FAILED);
      }
      long retries = harness.counts.retries(RetryReason.CONNECT_FAILED);
      assertTrue(retries <= 10 + 30, "retries " + retries);
      assertFalse(harness.refused.isEmpty());
    }
  }
}
