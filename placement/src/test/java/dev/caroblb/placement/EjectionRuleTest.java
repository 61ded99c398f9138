package dev.caroblb.placement;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.List;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;

class EjectionRuleTest {
  private final Fleet fleet = new Fleet();
  private final EjectionRule rule = new EjectionRule();
  private List<Target> targets;

  @BeforeEach
  void createTargets() {
    for (int i = 0; i < 6; i++) {
      fleet.update(PlacementSamples.available(i, 0, 0), 0);
    }
    targets = fleet.serving(PlacementSamples.MODEL);
  }

  private void failTwice(Target target) {
    rule.failed(target, CallFailure.CONNECT_FAILED, 0);
    rule.failed(target, CallFailure.CONNECT_FAILED, 0);
  }

  @Nested
  class WhenManyFail {
    /** Guards against ejecting most targets for a fault that lies outside them. */
    @Test
    void ejectsAtMostAThird() {
      targets.forEach(EjectionRuleTest.this::failTwice);
      rule.review(targets, 0);
      assertEquals(2, targets.stream().filter(target -> !target.eligible()).count());
    }
  }

  @Nested
  class WhenOneFails {
    /** Guards against an ejected target that never returns, or returns without a probe. */
    @Test
    void returnsByProbe() {
      Target target = targets.get(0);
      failTwice(target);
      rule.review(targets, 0);
      assertFalse(target.eligible());
      rule.review(targets, 2_000);
      assertTrue(target.eligible());
      target.health.probeSent();
      assertFalse(target.eligible(), "only one probe at a time");
      rule.succeeded(target, 2_100);
      assertTrue(target.eligible());
    }

    /** Guards against probing a faulty target at a constant rate. */
    @Test
    void waitsLongerAfterAFailedProbe() {
      Target target = targets.get(0);
      failTwice(target);
      rule.review(targets, 0);
      rule.review(targets, 2_000);
      target.health.probeSent();
      rule.failed(target, CallFailure.CONNECT_FAILED, 2_000);
      rule.review(targets, 5_000);
      assertFalse(target.eligible());
      rule.review(targets, 6_000);
      assertTrue(target.eligible());
    }
  }

  @Nested
  class WhenOneIsSlow {
    /** Guards against a slow target that keeps getting calls because none of them fail. */
    @Test
    void isEjected() {
      targets.forEach(target -> target.health.recordTokenInterval(30));
      targets.get(0).health.reset(0);
      targets.get(0).health.recordTokenInterval(300);
      for (int i = 0; i < 7; i++) {
        rule.review(targets, i * 250L);
      }
      assertFalse(targets.get(0).eligible());
      assertTrue(targets.get(1).eligible());
    }
  }

  @Nested
  class WhenOneStalls {
    /** Guards against new calls to a target that accepts calls but produces no tokens. */
    @Test
    void isEjected() {
      Target target = targets.get(0);
      Generation generation =
          fleet.start(PlacementSamples.request(1, 16, 0), target.placement(0), 0).orElseThrow();
      generation.progress(5, 100);
      for (int i = 0; i < 7; i++) {
        rule.review(targets, 6_000 + i * 250L);
      }
      assertFalse(target.eligible());
    }
  }
}
