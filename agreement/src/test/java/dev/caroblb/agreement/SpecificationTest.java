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

    /** Guards against rules by which a committed entry is lost or changed when disks are lost. */
    @Test
    void holds() throws IOException {
      assertFalse(found(SPECIFICATION, "agreement"));
    }

    /** Guards against a check that does not detect a vote of a newly formatted disk. */
    @Test
    void failsIfAnEmptyDiskActsAsTheOldOne() throws IOException {
      assertTrue(found(SPECIFICATION, "mutantEmptyDiskActsAsTheOldOne"));
    }

    /** Guards against a check that passes because it covers too few lost disks. */
    @Test
    void failsIfASurvivorLeadsAfterTheLossOfAMajority() throws IOException {
      assertTrue(found(SPECIFICATION, "mutantManyLost"));
    }

    /**
     * Guards against rules by which the surviving member after two successive losses cannot lead.
     */
    @Test
    void letsTheSurvivorLead() throws IOException {
      assertTrue(found(SPECIFICATION, "survivorLeads"));
    }
  }

  @Nested
  class LeaderLease {
    private static final String SPECIFICATION = "LeaderLease.als";

    /**
     * Guards against two leases at once, and orders that take effect after those of a later term.
     */
    @Test
    void holds() throws IOException {
      assertFalse(found(SPECIFICATION, "lease"));
    }

    /** Guards against a check that does not detect votes during a lease. */
    @Test
    void failsIfVotesAreNotWithheld() throws IOException {
      assertTrue(found(SPECIFICATION, "mutantVotesAreNotWithheld"));
    }

    /**
     * Guards against a check that does not detect a vote after a restart, during a lease that was
     * acknowledged before it.
     */
    @Test
    void failsIfARestartGrantsVotes() throws IOException {
      assertTrue(found(SPECIFICATION, "mutantRestartGrantsVotes"));
    }

    /** Guards against a check that does not detect a late order from a stalled connection. */
    @Test
    void failsIfTheSuccessorActsAtOnce() throws IOException {
      assertTrue(found(SPECIFICATION, "mutantSuccessorDoesNotWait"));
    }

    /** Guards against rules by which no successor ever issues an order. */
    @Test
    void letsASuccessorAct() throws IOException {
      assertTrue(found(SPECIFICATION, "successorActs"));
    }
  }
}
