package dev.caroblb.forwarding;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import dev.caroblb.core.RefusalReason;
import dev.caroblb.core.TargetId;
import dev.caroblb.forwarding.quarantine.PromptPart;
import java.util.List;
import java.util.Random;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;

/** Tests several entries whose engines crash on one part of a prompt. */
class CrashingPromptTest {
  private static final PromptPart[] SHARED = parts("a", "b", "c", "d");
  private static final long CONTACT_MS = 3_000;

  private static PromptPart[] parts(String... ids) {
    PromptPart[] parts = new PromptPart[ids.length];
    for (int i = 0; i < ids.length; i++) {
      parts[i] = new PromptPart(ids[i]);
    }
    return parts;
  }

  private static PromptPart oneOf(PromptPart[] parts, Random random) {
    return parts[random.nextInt(parts.length)];
  }

  /** Requests of which a share has the crashing part, spread over entries. */
  private static final class Traffic {
    private final EntryGroup group;
    private final Random random;
    private final String path;
    private int others;
    private int otherBegun;

    Traffic(EntryGroup group, String path, long seed) {
      this.group = group;
      this.path = path;
      random = new Random(seed);
    }

    void run(int entries, int requests, double crashingShare) {
      for (int i = 0; i < requests; i++) {
        PromptPart first = oneOf(SHARED, random);
        PromptPart second = new PromptPart("second-" + random.nextInt(20));
        int entry = random.nextInt(entries);
        if (random.nextDouble() < crashingShare) {
          long unused = group.arrive(entry, path, first, EntryGroup.CRASHING, second);
        } else {
          long call = group.arrive(entry, path, first, second);
          others++;
          group.advance(1_000 / 6);
          group.advance(400);
          otherBegun += group.begun(call) ? 1 : 0;
        }
        group.advance(random.nextInt(100));
      }
    }
  }

  @Nested
  class OnePart {
    /**
     * Guards against requests with a part that crashes engines reaching engines again and again, at
     * every entry in turn.
     */
    @Test
    void stopsReachingEngines() {
      for (long seed = 1; seed <= 5; seed++) {
        EntryGroup group = new EntryGroup(3, 5, 30);
        group.advance(2_000);
        Traffic traffic = new Traffic(group, "/long/x", seed);
        traffic.run(5, 100, 0.4);
        assertTrue(group.sentAfterFifthCrash(CONTACT_MS) <= 3, group.crashes() + " crashes");
        assertTrue(group.crashes() >= 3);
      }
    }
  }

  @Nested
  class Sharing {
    private final EntryGroup group = new EntryGroup(3, 5, 30);

    private void crashThreeEnginesAt(int entry) {
      for (int i = 0; i < 3; i++) {
        long unused = group.arrive(entry, "/long/x", SHARED[i], EntryGroup.CRASHING);
        group.advance(1_000);
      }
    }

    private boolean refused(int entry) {
      long call = group.arrive(entry, "/long/x", SHARED[3], EntryGroup.CRASHING);
      return group.callers.get(call).events.equals(List.of("refused PROMPT_QUARANTINED"));
    }

    /** Guards against an entry that learns of a crashing part only from its own crashes. */
    @Test
    void reachesAllEntries() {
      group.advance(2_000);
      crashThreeEnginesAt(0);
      for (int entry = 0; entry < 5; entry++) {
        assertTrue(refused(entry));
      }
    }

    /** Guards against an entry without contact that sends crashing prompts to engines forever. */
    @Test
    void isNotNeededByAnEntryThatIsCutOff() {
      group.advance(2_000);
      group.cutOff("entry-1");
      crashThreeEnginesAt(1);
      assertTrue(refused(1));
      assertTrue(!refused(0));
      group.rejoin("entry-1");
      group.advance(1_500);
      assertTrue(refused(2));
    }

    /** Guards against forgetting a crashing part when control instances restart. */
    @Test
    void survivesRestartsOfControlInstances() {
      group.advance(2_000);
      crashThreeEnginesAt(0);
      group.restart("control-0");
      group.restart("control-1");
      group.restart("control-2");
      group.advance(2_500);
      group.restart("entry-4");
      group.advance(2_500);
      assertTrue(refused(4));
    }
  }

  @Nested
  class OtherParts {
    /**
     * Guards against quarantining parts because connections break now and then, as they do when
     * engines send malformed responses or reset connections.
     */
    @Test
    void areServedWhenConnectionsBreak() {
      EntryGroup group = new EntryGroup(3, 5, 10);
      Random random = new Random(4);
      group.advance(2_000);
      for (int i = 0; i < 300; i++) {
        long unused = group.arrive(i % 5, "/long/x", oneOf(SHARED, random));
        group.advance(150);
        group.resetConnections(new TargetId("t" + random.nextInt(10)));
      }
      assertEquals(null, group.refusals.get(RefusalReason.PROMPT_QUARANTINED));
    }

    /**
     * Guards against refusing a rare part at all entries because links to engines that go on
     * running broke.
     */
    @Test
    void areServedAfterLinksToRunningEnginesBroke() {
      EntryGroup group = new EntryGroup(3, 5, 10);
      PromptPart rare = new PromptPart("rare");
      group.advance(2_000);
      for (int i = 0; i < 6; i++) {
        long unused = group.arrive(0, "/long/x", SHARED[i % SHARED.length], rare);
        group.advance(100);
        group.engines().forEach(group::resetConnections);
        group.advance(1_500);
      }
      long call = group.arrive(1, "/long/x", SHARED[0], rare);
      group.advance(1_000);
      assertTrue(group.begun(call));
    }

    /** Guards against refusing other requests that share parts with requests that crash engines. */
    @Test
    void areServedBesideTheCrashingPart() {
      for (long seed = 1; seed <= 5; seed++) {
        EntryGroup group = new EntryGroup(3, 5, 30);
        group.advance(2_000);
        Traffic traffic = new Traffic(group, "/long/x", seed);
        traffic.run(5, 40, 0.4);
        traffic.others = 0;
        traffic.otherBegun = 0;
        traffic.run(5, 60, 0.4);
        assertTrue(
            traffic.otherBegun >= 0.8 * traffic.others,
            traffic.otherBegun + " of " + traffic.others + " other requests began");
      }
    }

    /** Guards against quarantining parts of all prompts when a failure domain loses power. */
    @Test
    void areServedAfterManyEnginesCrashAtOnce() {
      EntryGroup group = new EntryGroup(3, 5, 30);
      group.advance(2_000);
      for (int round = 0; round < 4; round++) {
        for (int i = 0; i < 40; i++) {
          long unused = group.arrive(i % 5, "/long/x", SHARED);
        }
        group.advance(200);
        group.engines().stream().limit(25).toList().forEach(group::crash);
        group.advance(6_000);
      }
      long call = group.arrive(0, "/long/x", SHARED);
      group.advance(1_000);
      assertTrue(group.begun(call));
      assertEquals(0, group.crashes());
    }
  }
}
