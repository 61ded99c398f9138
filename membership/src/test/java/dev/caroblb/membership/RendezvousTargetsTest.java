package dev.caroblb.membership;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import dev.caroblb.core.InstanceId;
import dev.caroblb.core.TargetId;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;

class RendezvousTargetsTest {
  private final RendezvousTargets selection =
      new RendezvousTargets(RendezvousTargets.DEFAULT_LIMIT);

  private static List<Announcement> targets(int count) {
    List<Announcement> targets = new ArrayList<>();
    for (int i = 0; i < count; i++) {
      targets.add(Announcements.of(new TargetId("engine-" + i), 1, 1, false));
    }
    return targets;
  }

  @Nested
  class FewTargets {
    /** Guards against a small deployment in which instances follow only some of the targets. */
    @Test
    void areAllFollowed() {
      assertEquals(200, selection.select(new InstanceId("i1"), targets(200)).size());
    }
  }

  @Nested
  class ManyTargets {
    private static final int TARGETS = 1_000;
    private static final int INSTANCES = 275;

    /** Guards against targets that no instance or almost every instance follows. */
    @Test
    void areFollowedByAboutTheSameNumberOfInstances() {
      List<Announcement> known = targets(TARGETS);
      Map<TargetId, Integer> followers = new HashMap<>();
      for (int i = 0; i < INSTANCES; i++) {
        Set<TargetId> selected = selection.select(new InstanceId("entry-" + i), known);
        assertEquals(200, selected.size());
        selected.forEach(target -> followers.merge(target, 1, Integer::sum));
      }
      int mean = INSTANCES * 200 / TARGETS;
      assertEquals(TARGETS, followers.size());
      assertTrue(followers.values().stream().allMatch(n -> n > mean / 2 && n < mean * 3 / 2));
    }

    /** Guards against one failed target that replaces more than one selected target. */
    @Test
    void changeByOneSelectionWhenATargetIsRemoved() {
      List<Announcement> known = targets(TARGETS);
      Set<TargetId> before = selection.select(new InstanceId("i1"), known);
      TargetId gone = before.iterator().next();
      known.removeIf(announcement -> announcement.target().equals(gone));
      Set<TargetId> after = new HashSet<>(selection.select(new InstanceId("i1"), known));
      after.removeAll(before);
      assertEquals(1, after.size());
    }
  }
}
