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

    /** Guards against an entry that uses only the contacts of its settings. */
    @Test
    void learnsFurtherContacts() {
      topology.heartbeatReceived(SEED, List.of(SEED, OTHER, SELF), 0);
      assertEquals(Set.of(SEED, OTHER), topology.peers());
    }

    /** Guards against a full mesh of messages between entries. */
    @Test
    void ignoresOtherEntries() {
      topology.heartbeatReceived(ENTRY, List.of(SEED), 0);
      assertEquals(Set.of(SEED), topology.peers());
    }

    /**
     * Guards against sending messages to contacts that no longer exist. Contacts from the settings
     * are kept.
     */
    @Test
    void forgetsLearnedContactsThatFellSilent() {
      topology.heartbeatReceived(SEED, List.of(SEED, OTHER), 0);
      topology.expire(ContactTopology.FORGET_AFTER_MS);
      assertEquals(Set.of(SEED), topology.peers());
    }

    /**
     * Guards against dropping targets because the contacts that forward their announcements could
     * not be reached.
     */
    @Test
    void isDisconnectedUntilTargetsCanBeAnnouncedAgain() {
      assertTrue(topology.disconnected(0));
      topology.heartbeatReceived(SEED, List.of(SEED), 10);
      assertTrue(topology.disconnected(20));
      long settled = 10;
      while (settled < 10 + ContactTopology.RECONNECT_GRACE_MS) {
        settled += 500;
        topology.heartbeatReceived(SEED, List.of(SEED), settled);
      }
      assertFalse(topology.disconnected(settled));
      assertTrue(topology.disconnected(settled + ContactTopology.CONTACT_TIMEOUT_MS));
    }
  }

  @Nested
  class AtAContact {
    private final ContactTopology topology = new ContactTopology(SELF, true, Set.of(SELF, SEED));

    /** Guards against an entry that receives no announcements from its contact. */
    @Test
    void sendsToEveryInstanceThatSendsHeartbeats() {
      topology.heartbeatReceived(ENTRY, List.of(SEED), 0);
      assertEquals(Set.of(SEED, ENTRY), topology.peers());
      assertTrue(topology.contacts().contains(SELF));
      topology.expire(ContactTopology.FORGET_AFTER_MS);
      assertEquals(Set.of(SEED), topology.peers());
    }
  }
}
