package dev.caroblb.configuration;

import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import dev.caroblb.modelcheck.AlloySpecification;
import java.io.IOException;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

class InForceSpecificationTest {
  private static boolean finds(String command) throws IOException {
    return AlloySpecification.load(InForceSpecificationTest.class, "in_force.als")
        .run(command)
        .found();
  }

  @Nested
  class Rules {
    /**
     * Guards against a protocol in which a number declared in force is not in force on an entry, or
     * in which an entry returns to a smaller number.
     */
    @ParameterizedTest
    @ValueSource(strings = {"InForceEverywhere", "NeverReverts"})
    void haveNoCounterexample(String command) throws IOException {
      assertFalse(finds(command));
    }

    /**
     * Guards against a specification that permits no behaviour and therefore has no counterexample.
     */
    @Test
    void allowACutOffEntryAndAChangeOfLeader() throws IOException {
      assertTrue(finds("CutOffEntry"));
    }
  }

  @Nested
  class Mutants {
    /**
     * Guards against a check that finds no counterexample even if a rule of the protocol is
     * removed.
     */
    @ParameterizedTest
    @ValueSource(strings = {"MutantSkipsWait", "MutantInstallsSmaller", "MutantSkipsBarrier"})
    void haveACounterexample(String command) throws IOException {
      assertTrue(finds(command));
    }
  }
}
