package dev.caroblb.agreement;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import dev.caroblb.core.InstanceId;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;

class QuorumTest {
  private static final Member A = member("a");
  private static final Member B = member("b");
  private static final Member C = member("c");
  private static final Member FRESH = new Member(new InstanceId("a"), "1".repeat(32));

  private static Member member(String name) {
    return new Member(new InstanceId(name), "0".repeat(32));
  }

  private static Quorum quorum(List<Member> members, Set<Member> lost) {
    return new Quorum(members, Optional.empty(), lost, false);
  }

  private static boolean reached(Quorum quorum, Member... agreeing) {
    return quorum.reached(Set.of(agreeing)::contains);
  }

  @Nested
  class WithoutLosses {
    /** Guards against a minority that counts as a quorum. */
    @Test
    void needsAMajority() {
      Quorum quorum = quorum(List.of(A, B, C), Set.of());
      assertFalse(reached(quorum, A));
      assertTrue(reached(quorum, A, C));
      assertFalse(reached(quorum(List.of(B, C), Set.of()), B));
    }

    /** Guards against a newly formatted folder that counts as the member it replaces. */
    @Test
    void countsIncarnations() {
      assertFalse(reached(quorum(List.of(A, B, C), Set.of()), FRESH, B));
    }

    /** Guards against a value that only a minority has reached. */
    @Test
    void findsTheHighestValueOfAMajority() {
      Map<Member, Long> values = Map.of(A, 9L, B, 4L, C, 7L);
      assertEquals(7, quorum(List.of(A, B, C), Set.of()).highest(values::get));
    }
  }

  @Nested
  class WithProvenLosses {
    /** Guards against a surviving member that cannot lead although it has every committed entry. */
    @Test
    void allOthersSufficeIfFewerThanAMajorityAreLost() {
      assertTrue(reached(quorum(List.of(B, C), Set.of(B)), C));
      assertFalse(reached(quorum(List.of(A, B, C), Set.of(A)), C));
    }

    /** Guards against a surviving member that leads although it may lack committed entries. */
    @Test
    void nothingSufficesIfAMajorityIsLost() {
      assertFalse(reached(quorum(List.of(A, B, C), Set.of(A, B)), C));
    }
  }

  @Nested
  class WhileTheNewestListMayBeUncommitted {
    /** Guards against an uncommitted removal by which the member that proposed it leads alone. */
    @Test
    void thePreviousListMustAgreeToo() {
      Quorum quorum = new Quorum(List.of(B, C), Optional.of(List.of(A, B, C)), Set.of(A, C), false);
      assertFalse(reached(quorum, B));
    }

    /** Guards against a history that drops the previous list before the newest is committed. */
    @Test
    void theHistoryKeepsThePreviousList() {
      MemberHistory history = new MemberHistory();
      history.reset(1, List.of(A, B, C));
      history.add(5, List.of(B, C));
      assertEquals(Optional.of(List.of(A, B, C)), history.quorum(4, Set.of()).previous());
      assertEquals(Optional.empty(), history.quorum(5, Set.of()).previous());
    }
  }

  @Nested
  class BeforeTheFirstCommit {
    /** Guards against a group that commits while some slots could still bootstrap another one. */
    @Test
    void allMembersMustAgree() {
      MemberHistory history = new MemberHistory();
      history.reset(0, List.of(A, B, C));
      Quorum quorum = history.quorum(0, Set.of());
      assertFalse(reached(quorum, A, B));
      assertTrue(reached(quorum, A, B, C));
    }
  }
}
