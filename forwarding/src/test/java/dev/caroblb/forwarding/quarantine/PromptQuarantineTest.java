package dev.caroblb.forwarding.quarantine;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import dev.caroblb.core.Payload;
import dev.caroblb.core.TargetId;
import java.util.ArrayList;
import java.util.List;
import java.util.Set;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;

class PromptQuarantineTest {
  private final PromptQuarantine quarantine = new PromptQuarantine();
  private long nowMs = 1_000_000;
  private int engines;

  private static List<PromptPart> parts(String... ids) {
    List<PromptPart> parts = new ArrayList<>();
    for (String id : ids) {
      parts.add(new PromptPart(id));
    }
    return parts;
  }

  /** Sends a request to an engine of its own, which crashes. */
  private void crash(String... ids) {
    long sentMs = nowMs;
    nowMs += 400;
    assertTrue(quarantine.crashed(new TargetId("t" + engines++), 1, parts(ids), sentMs, nowMs));
    nowMs += 10;
  }

  private void answer(String... ids) {
    nowMs += 10;
    quarantine.answered(parts(ids), nowMs);
    nowMs += 10;
  }

  private boolean blocked(String... ids) {
    return quarantine.blocking(parts(ids), nowMs).isPresent();
  }

  @Nested
  class Threshold {
    /** Guards against refusing a prompt after crashes that have other causes. */
    @Test
    void takesThreeCrashes() {
      crash("x");
      crash("x");
      assertFalse(blocked("x"));
      crash("x");
      assertTrue(blocked("x"));
      assertTrue(blocked("a", "x", "b"));
      assertFalse(blocked("a"));
      assertFalse(blocked());
    }

    /** Guards against quarantining parts that share requests with the cause. */
    @Test
    void sparesThePartsOfOtherAnsweredRequests() {
      answer("a");
      for (int i = 0; i < 5; i++) {
        crash("a", "x", "b");
      }
      assertFalse(blocked("a"));
      assertFalse(blocked("b"));
      assertTrue(blocked("a", "x", "b"));
      answer("b");
      assertTrue(blocked("x", "c"));
      assertFalse(blocked("a", "b"));
    }

    /** Guards against two causes with as many crashes that are held back only together. */
    @Test
    void findsTwoCausesOfDifferentCrashes() {
      for (int i = 0; i < 3; i++) {
        crash("x");
        crash("y");
      }
      assertTrue(blocked("x"));
      assertTrue(blocked("y"));
    }

    /** Guards against quarantining a rare part for crashes that another part explains. */
    @Test
    void sparesPartsWhoseCrashesAreExplained() {
      crash("rare", "x");
      crash("rare", "x");
      crash("rare", "x");
      crash("other", "x");
      assertTrue(blocked("x"));
      assertFalse(blocked("rare"));
    }

    /** Guards against refusing a part that is known to be answered instead of the cause. */
    @Test
    void prefersPartsThatWereNeverAnswered() {
      answer("a");
      crash("a", "n");
      for (int i = 0; i < 3; i++) {
        crash("a", "x");
      }
      assertTrue(blocked("x"));
      assertFalse(blocked("a"));
    }

    /** Guards against suspects of earlier broken requests that leave no room for the cause. */
    @Test
    void findsThePartBehindManyEarlierSuspects() {
      for (int engine = 0; engine < 3; engine++) {
        for (int i = 0; i < 2 * Evidence.MAX_SUSPECTS; i++) {
          quarantine.crashed(
              new TargetId("t" + engine), 1, parts("n" + engine + "-" + i), nowMs, nowMs + 5);
          nowMs += 10;
        }
      }
      for (int engine = 0; engine < 3; engine++) {
        nowMs += 2_000;
        quarantine.crashed(new TargetId("t" + engine), 1, parts("x"), nowMs, nowMs + 400);
      }
      nowMs += 1_000;
      assertTrue(blocked("x"));
    }

    /** Guards against crashes that add up for a part on which engines generate in between. */
    @Test
    void startsAnewAfterAnAnswer() {
      for (int i = 0; i < 10; i++) {
        crash("a");
        crash("a");
        answer("a");
      }
      assertFalse(blocked("a"));
    }

    /** Guards against a quarantine after several requests that broke off at one engine. */
    @Test
    void countsOneRunOfAnEngineOnce() {
      for (int i = 0; i < 5; i++) {
        quarantine.crashed(new TargetId("t"), 1, parts("a"), nowMs, nowMs + 400);
        nowMs += 2_000;
      }
      assertFalse(blocked("a"));
      for (int run = 2; run < 4; run++) {
        quarantine.crashed(new TargetId("t"), run, parts("a"), nowMs, nowMs + 400);
        nowMs += 2_000;
      }
      assertTrue(blocked("a"));
    }

    /** Guards against quarantining parts of all prompts when a failure domain loses power. */
    @Test
    void countsEnginesThatCrashTogetherOnce() {
      long sentMs = nowMs;
      for (int i = 0; i < 30; i++) {
        quarantine.crashed(new TargetId("t" + i), 1, parts("a"), sentMs, nowMs + i);
      }
      nowMs += 100;
      assertFalse(blocked("a"));
    }
  }

  @Nested
  class Fingerprints {
    private final PromptPart request =
        RequestFingerprint.of("key", "host", "GET", "/path", Payload.empty());

    private boolean crash() {
      nowMs += 400;
      return quarantine.crashed(
          new TargetId("t" + engines++), 1, List.of(request), nowMs - 300, nowMs);
    }

    /** Guards against messages for each request that was only in progress at a crash. */
    @Test
    void areReportedSoonOnlyIfTheyRecur() {
      assertFalse(crash());
      assertTrue(crash());
      assertTrue(crash());
      assertTrue(quarantine.blocking(List.of(request), nowMs).isPresent());
    }

    /** Guards against answers to many requests that displace those to parts of prompts. */
    @Test
    void areNotRememberedWithoutACrash() {
      PromptQuarantineTest.this.crash("a");
      answer("a");
      for (int i = 0; i < 5_000; i++) {
        quarantine.answered(
            List.of(RequestFingerprint.of("key", "host", "GET", "/" + i, Payload.empty())), nowMs);
      }
      PromptQuarantineTest.this.crash("a");
      PromptQuarantineTest.this.crash("a");
      assertFalse(blocked("a"));
    }

    /** Guards against requests that are taken for repetitions of another one. */
    @Test
    void differWithTheContents() {
      Payload body = Payload.ofText("body");
      Set<PromptPart> different =
          Set.of(
              request,
              RequestFingerprint.of("other", "host", "GET", "/path", Payload.empty()),
              RequestFingerprint.of("key", "other", "GET", "/path", Payload.empty()),
              RequestFingerprint.of("key", "host", "POST", "/path", Payload.empty()),
              RequestFingerprint.of("key", "host", "GET", "/path?a", Payload.empty()),
              RequestFingerprint.of("key", "host", "GET", "/path", body),
              RequestFingerprint.of("", "keyhost", "GET", "/path", body));
      assertEquals(7, different.size());
      assertEquals(request, RequestFingerprint.of("key", "host", "GET", "/path", Payload.empty()));
    }
  }

  @Nested
  class Heartbeats {
    private void heartbeatOfAllEngines() {
      for (int i = 0; i < engines; i++) {
        quarantine.alive(new TargetId("t" + i), 1, nowMs);
      }
    }

    private void loseConnectionsToThreeEngines() {
      crash("x");
      crash("x");
      crash("x");
      assertTrue(blocked("x"));
    }

    /** Guards against a quarantine because of engines that go on running. */
    @Test
    void endTheQuarantineOfAPartThatCrashedNoEngine() {
      loseConnectionsToThreeEngines();
      nowMs += CrashLog.SURVIVAL_MS;
      heartbeatOfAllEngines();
      assertFalse(blocked("x"));
      assertEquals(0, quarantine.allEvidence(nowMs).crashes().size());
      assertEquals(0, quarantine.ownEvidence(nowMs).crashes().size());
    }

    /** Guards against a heartbeat from before a crash that arrives late and hides the crash. */
    @Test
    void showNothingShortlyAfterACrash() {
      loseConnectionsToThreeEngines();
      nowMs += CrashLog.SURVIVAL_MS / 3;
      heartbeatOfAllEngines();
      assertTrue(blocked("x"));
    }

    /** Guards against heartbeats of a restarted engine that hide the crash of the run before. */
    @Test
    void ofTheNextRunDoNotHideACrash() {
      loseConnectionsToThreeEngines();
      nowMs += 2 * CrashLog.SURVIVAL_MS;
      for (int i = 0; i < engines; i++) {
        quarantine.alive(new TargetId("t" + i), 2, nowMs);
      }
      assertTrue(blocked("x"));
    }

    /** Guards against instances that bring back what an engine has disproved. */
    @Test
    void outweighOlderReportsOfOthers() {
      loseConnectionsToThreeEngines();
      final Evidence outdated = quarantine.allEvidence(nowMs);
      nowMs += CrashLog.SURVIVAL_MS;
      heartbeatOfAllEngines();
      assertFalse(quarantine.received(outdated, nowMs - CrashLog.SURVIVAL_MS));
      assertFalse(blocked("x"));
    }

    /** Guards against an engine that is above suspicion because it survived once. */
    @Test
    void doNotExcuseALaterCrash() {
      loseConnectionsToThreeEngines();
      nowMs += CrashLog.SURVIVAL_MS;
      heartbeatOfAllEngines();
      nowMs += 1_000;
      for (int i = 0; i < engines; i++) {
        quarantine.crashed(new TargetId("t" + i), 1, parts("x"), nowMs, nowMs + 400);
        nowMs += 2_000;
      }
      assertTrue(blocked("x"));
    }
  }

  @Nested
  class Expiry {
    /** Guards against a wrong quarantine that stays although engines generate on the part. */
    @Test
    void followsAnAnswer() {
      crash("x");
      crash("x");
      crash("x");
      answer("x");
      assertFalse(blocked("x"));
    }

    /** Guards against a part that is refused forever, or that crashes three engines again. */
    @Test
    void followsAfterTheQuarantineUntilTheNextCrash() {
      crash("x");
      crash("x");
      crash("x");
      nowMs += PromptQuarantine.QUARANTINE_MS - 20;
      assertTrue(blocked("x"));
      assertTrue(quarantine.blocking(parts("x"), nowMs).get().leftMs() <= 10);
      nowMs += 20;
      quarantine.expire(nowMs);
      assertFalse(blocked("x"));
      crash("x");
      assertTrue(blocked("x"));
    }
  }

  @Nested
  class Sharing {
    private final PromptQuarantine other = new PromptQuarantine();

    /** Guards against entries that each need three crashes of their own. */
    @Test
    void addsUpTheCrashesOfAllInstances() {
      crash("a", "x");
      crash("b", "x");
      assertTrue(other.received(quarantine.ownEvidence(nowMs), nowMs + 5));
      assertFalse(other.received(quarantine.ownEvidence(nowMs), nowMs + 5));
      nowMs += 100;
      other.crashed(new TargetId("u"), 1, parts("c", "x"), nowMs, nowMs + 400);
      nowMs += 500;
      assertTrue(other.blocking(parts("x"), nowMs).isPresent());
      assertFalse(blocked("x"));
      quarantine.received(other.allEvidence(nowMs), nowMs);
      assertTrue(blocked("x"));
    }

    /** Guards against quarantining a part that other instances see answered. */
    @Test
    void reportsAnswersToTheSuspectsOfOthers() {
      crash("a");
      crash("a");
      crash("a");
      assertTrue(blocked("a"));
      other.answered(parts("a", "unrelated"), nowMs);
      nowMs += 5;
      other.received(quarantine.ownEvidence(nowMs), nowMs);
      Evidence answers = other.ownEvidence(nowMs);
      assertEquals(1, answers.answered().size());
      assertTrue(quarantine.received(answers, nowMs));
      assertFalse(blocked("a"));
    }

    /** Guards against a quarantine that ends when many other requests break off. */
    @Test
    void keepsTheCrashesThatHoldAQuarantine() {
      crash("x");
      crash("x");
      crash("x");
      for (int i = 0; i < 2 * Evidence.MAX_CRASHES; i++) {
        crash("n" + i);
      }
      assertTrue(blocked("x"));
    }

    /** Guards against instances that send each other the same crashes again and again. */
    @Test
    void doesNotAddAgainWhatWasDropped() {
      for (int i = 0; i < Evidence.MAX_CRASHES; i++) {
        crash("a" + i);
        other.crashed(new TargetId("u" + i), 1, parts("b" + i), nowMs - 400, nowMs);
      }
      boolean first = quarantine.received(other.ownEvidence(nowMs), nowMs);
      assertTrue(first);
      assertFalse(quarantine.received(other.ownEvidence(nowMs), nowMs));
      assertFalse(quarantine.received(quarantine.ownEvidence(nowMs), nowMs));
    }

    /** Guards against state that grows with the number of crashes. */
    @Test
    void isBounded() {
      for (int i = 0; i < 1_000; i++) {
        crash("a" + i, "b" + i);
      }
      assertEquals(Evidence.MAX_CRASHES, quarantine.allEvidence(nowMs).crashes().size());
    }
  }
}
