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

    /** Guards against a specification that holds because nothing can happen in it. */
    @Test
    void letsASecondAttemptRunAfterARelease() throws IOException {
      assertTrue(found("secondRuns"));
    }
  }

  @Nested
  class Mutants {
    /** Guards against a check that would not notice a broken rule. */
    @ParameterizedTest
    @ValueSource(
        strings = {
          "answerEarlyFails",
          "releaseAfterWriteFails",
          "grantHeldFails",
          "tellEarlyFails"
        })
    void haveACounterexample(String command) throws IOException {
      assertTrue(found(command));
    }
  }
}
