package dev.caroblb.idempotency;

import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import dev.caroblb.modelcheck.AlloySpecification;
import java.io.IOException;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

class AtMostOnceSpecificationTest {
  private static boolean found(String command) throws IOException {
    return AlloySpecification.load(AtMostOnceSpecificationTest.class, "at_most_once.als")
        .run(command)
        .found();
  }

  @Nested
  class Protocol {
    /** Guards against a protocol in which two attempts of a call reach the target. */
    @ParameterizedTest
    @ValueSource(
        strings = {
          "atMostOnceHolds",
          "atMostOnceHoldsForLongerRuns",
          "notRunHolds",
          "dispatchedHolds"
        })
    void hasNoCounterexample(String command) throws IOException {
      assertFalse(found(command));
    }

    /** Guards against a vacuous specification, in which no second attempt can run. */
    @Test
    void letsASecondAttemptRunAfterARelease() throws IOException {
      assertTrue(found("secondAttemptRuns"));
    }
  }

  @Nested
  class Mutants {
    /** Guards against a check that does not detect a broken rule. */
    @ParameterizedTest
    @ValueSource(
        strings = {
          "answerEarlyFails",
          "releaseAfterWriteFails",
          "grantHeldFails",
          "reportEarlyFails"
        })
    void haveACounterexample(String command) throws IOException {
      assertTrue(found(command));
    }
  }
}
