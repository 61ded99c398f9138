package dev.caroblb.placement;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.Optional;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.IntRange;
import net.jqwik.api.constraints.Size;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;

class SurvivalCurveTest {
  private static void learn(SurvivalCurve curve, int tokens, int times) {
    for (int i = 0; i < times; i++) {
      curve.grew(0, tokens);
      curve.ended(tokens);
    }
    curve.refresh();
  }

  /** Guards against lengths that are counted in a bucket that does not contain them. */
  @Property(seed = "7")
  void bucketHoldsItsLengths(@ForAll @IntRange(min = 0, max = 131_071) int tokens) {
    int bucket = LengthBuckets.index(tokens);
    assertTrue(LengthBuckets.lower(bucket) <= tokens);
    assertTrue(bucket == LengthBuckets.COUNT - 1 || tokens < LengthBuckets.lower(bucket + 1));
  }

  /** Guards against a curve that rises, which would make a longer output more likely. */
  @Property(seed = "7", tries = 200)
  void neverRises(@ForAll @Size(min = 1, max = 50) int[] lengths) {
    SurvivalCurve curve = new SurvivalCurve(Optional.empty());
    for (int length : lengths) {
      learn(curve, Math.abs(length % 60_000), 1);
    }
    for (int tokens = 0; tokens < 70_000; tokens += 97) {
      assertTrue(curve.survival(tokens) >= curve.survival(tokens + 97));
    }
  }

  @Nested
  class WithoutObservations {
    /** Guards against assuming short outputs before any was observed. */
    @Test
    void followsTheColdStartHazard() {
      SurvivalCurve curve = new SurvivalCurve(Optional.empty());
      assertEquals(Math.pow(0.95, 12), curve.survival(128), 1e-9);
      assertEquals(Math.pow(0.95, 12) * 0.7 * 0.7, curve.survival(256), 1e-9);
    }

    /** Guards against a new workspace that ignores what was learned from the others. */
    @Test
    void followsThePrior() {
      SurvivalCurve prior = new SurvivalCurve(Optional.empty());
      learn(prior, 1_000, 500);
      SurvivalCurve curve = new SurvivalCurve(Optional.of(prior));
      assertEquals(prior.survival(500), curve.survival(500), 1e-9);
    }
  }

  @Nested
  class WithObservations {
    private final SurvivalCurve curve = new SurvivalCurve(Optional.empty());

    /** Guards against remaining lengths that ignore the tokens produced so far. */
    @Test
    void expectsMoreAfterSurvivingTheShortOnes() {
      learn(curve, 50, 500);
      learn(curve, 4_000, 500);
      assertTrue(curve.expectedRemaining(0) < 3_000);
      assertTrue(curve.expectedRemaining(100) > 3_000);
    }

    /** Guards against a curve that never forgets old lengths. */
    @Test
    void oldLengthsDecay() {
      learn(curve, 4_000, 2_000);
      learn(curve, 50, 3_000);
      assertTrue(curve.survival(1_000) < 0.2, "survival " + curve.survival(1_000));
    }

    /** Guards against counting only finished outputs, which hides the long ones that still run. */
    @Test
    void countsRunningGenerations() {
      learn(curve, 100, 50);
      double before = curve.survival(1_000);
      for (int i = 0; i < 50; i++) {
        curve.grew(0, 2_000);
      }
      curve.refresh();
      assertTrue(curve.survival(1_000) > before + 0.2);
    }
  }
}
