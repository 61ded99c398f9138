package dev.caroblb.orders;

import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import dev.caroblb.modelcheck.AlloySpecification;
import java.io.IOException;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

class FencingSpecificationTest {
  private static boolean finds(String command) throws IOException {
    return AlloySpecification.load(FencingSpecificationTest.class, "fencing.als")
        .run(command)
        .found();
  }

  @Nested
  class Rules {
    /** Guards against an old order after a newer one, and two leaders that issue orders. */
    @ParameterizedTest
    @ValueSource(strings = {"Fenced", "Exclusive"})
    void haveNoCounterexample(String command) throws IOException {
      assertFalse(finds(command));
    }

    /** Guards against a specification in which a late order is impossible. */
    @Test
    void allowALateOrderWhereTokensAreIgnored() throws IOException {
      assertTrue(finds("LateOrderIsFound"));
    }
  }

  @Nested
  class Mutants {
    /** Guards against a check that finds no counterexample even without the rule. */
    @ParameterizedTest
    @ValueSource(strings = {"MutantAcceptsAnyToken", "MutantRepeatsToken", "MutantSkipsWait"})
    void haveACounterexample(String command) throws IOException {
      assertTrue(finds(command));
    }
  }
}
