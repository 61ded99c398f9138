package dev.caroblb.agreement;

import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import dev.caroblb.modelcheck.AlloySpecification;
import java.io.IOException;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;

class SpecificationTest {
  private static boolean found(String resource, String command) throws IOException {
    return AlloySpecification.load(SpecificationTest.class, resource).run(command).found();
  }

  @Nested
  class LogAgreement {
    private static final String SPECIFICATION = "LogAgreement.als";

    /** Guards against rules that lose or change a committed entry when disks are lost. */
    @Test
    void holds() throws IOException {
      assertFalse(found(SPECIFICATION, "agreement"));
    }

    /** Guards against a check that passes because it cannot see an empty disk that votes. */
    @Test
    void failsIfAnEmptyDiskActsAsTheOldOne() throws IOException {
      assertTrue(found(SPECIFICATION, "mutantEmptyDiskActsAsTheOldOne"));
    }

    /** Guards against a check that passes because too few disks are lost in it. */
    @Test
    void failsIfASurvivorLeadsAfterTheLossOfAMajority() throws IOException {
      assertTrue(found(SPECIFICATION, "mutantManyLost"));
    }

    /** Guards against rules under which the survivor of two successive losses cannot lead. */
    @Test
    void letsTheSurvivorLead() throws IOException {
      assertTrue(found(SPECIFICATION, "survivorLeads"));
    }
  }

  @Nested
  class LeaderLease {
    private static final String SPECIFICATION = "LeaderLease.als";

    /** Guards against rules that allow two leases at once or an order that arrives too late. */
    @Test
    void holds() throws IOException {
      assertFalse(found(SPECIFICATION, "lease"));
    }

    /** Guards against a check that passes although the successor does not wait for the lease. */
    @Test
    void failsIfVotesAreNotHeldBack() throws IOException {
      assertTrue(found(SPECIFICATION, "mutantVotesAreNotHeld"));
    }

    /** Guards against a check that cannot see an acknowledgement before a restart. */
    @Test
    void failsIfARestartForgetsTheHold() throws IOException {
      assertTrue(found(SPECIFICATION, "mutantRestartForgetsTheHold"));
    }

    /** Guards against a check that cannot see an order in a stalled connection. */
    @Test
    void failsIfTheSuccessorActsAtOnce() throws IOException {
      assertTrue(found(SPECIFICATION, "mutantSuccessorDoesNotWait"));
    }

    /** Guards against rules under which no successor ever acts. */
    @Test
    void letsASuccessorAct() throws IOException {
      assertTrue(found(SPECIFICATION, "successorActs"));
    }
  }
}
