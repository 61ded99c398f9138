package dev.caroblb.membership;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import dev.caroblb.core.InstanceId;
import java.util.List;
import java.util.Set;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;

class ContactTopologyTest {
  private static final InstanceId SELF = new InstanceId("self");
  private static final InstanceId SEED = new InstanceId("seed");
  private static final InstanceId OTHER = new InstanceId("other");
  private static final InstanceId ENTRY = new InstanceId("entry");

  @Nested
  class AtAnEntry {
    private final ContactTopology topology = new ContactTopology(SELF, false, Set.of(SEED));

    /** Guards against an entry that knows only the contacts of its settings. */
    @Test
    void learnsFurtherContacts() {
      topology.heard(SEED, List.of(SEED, OTHER, SELF), 0);
      assertEquals(Set.of(SEED, OTHER), topology.peers());
    }

    /** Guards against traffic between all entries. */
    @Test
    void ignoresOtherEntries() {
      topology.heard(ENTRY, List.of(SEED), 0);
      assertEquals(Set.of(SEED), topology.peers());
    }

    /** Guards against contacts that are gone and still cost messages; seeds stay for ever. */
    @Test
    void forgetsLearnedContactsThatFellSilent() {
      topology.heard(SEED, List.of(SEED, OTHER), 0);
      topology.expire(ContactTopology.FORGET_AFTER_MS);
      assertEquals(Set.of(SEED), topology.peers());
    }

    /** Guards against targets that are dropped because their forwarders were out of reach. */
    @Test
    void isOutOfTouchUntilTargetsHadTimeToBeAnnouncedAgain() {
      assertTrue(topology.outOfTouch(0));
      topology.heard(SEED, List.of(SEED), 10);
      assertTrue(topology.outOfTouch(20));
      long settled = 10;
      while (settled < 10 + ContactTopology.REGAIN_MS) {
        settled += 500;
        topology.heard(SEED, List.of(SEED), settled);
      }
      assertFalse(topology.outOfTouch(settled));
      assertTrue(topology.outOfTouch(settled + ContactTopology.CONTACT_SILENT_MS));
    }
  }

  @Nested
  class AtAContact {
    private final ContactTopology topology = new ContactTopology(SELF, true, Set.of(SELF, SEED));

    /** Guards against an entry that gets no announcements. */
    @Test
    void followsEveryoneThatItHears() {
      topology.heard(ENTRY, List.of(SEED), 0);
      assertEquals(Set.of(SEED, ENTRY), topology.peers());
      assertTrue(topology.contacts().contains(SELF));
      topology.expire(ContactTopology.FORGET_AFTER_MS);
      assertEquals(Set.of(SEED), topology.peers());
    }
  }
}
