package dev.caroblb.configuration;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import dev.caroblb.core.InstanceId;
import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;

class PublishForwarderTest {
  private static final Publish PUBLISH =
      new Publish(1, "q", List.of(new PublishedFile("t.toml", "team = \"t\"")));

  private final List<PeerMessage> sent = new ArrayList<>();
  private final List<PublishAnswer> answers = new ArrayList<>();
  private final LeaderFinder finder =
      new LeaderFinder(List.of(new InstanceId("r0"), new InstanceId("r1")));
  private final PublishForwarder forwarder =
      new PublishForwarder(
          "p", finder, (peer, message) -> sent.add(message), new ConfigurationCounters());

  private void reply(String incarnation, PublishOutcome outcome, long nowMs) {
    forwarder.replied(
        new PeerMessage.PublishReply(incarnation, 1, PublishAnswer.of(PUBLISH, outcome, "")),
        nowMs);
  }

  private List<PublishOutcome> outcomes() {
    return answers.stream().map(PublishAnswer::outcome).toList();
  }

  @Nested
  class TimeLimit {
    /** Guards against a publisher that is told nothing, or that its publish failed. */
    @Test
    void withoutAnswerIsUnanswered() {
      forwarder.requested(PUBLISH, answers::add, 0);
      forwarder.tick(PublishForwarder.TIME_LIMIT_MS - 1);
      assertEquals(List.of(), answers);
      forwarder.tick(PublishForwarder.TIME_LIMIT_MS);
      assertEquals(List.of(PublishOutcome.UNANSWERED), outcomes());
      assertTrue(answers.get(0).detail().contains("same number again"));
    }

    /** Guards against an accepted publish that is reported as unanswered. */
    @Test
    void afterAcceptanceIsAccepted() {
      forwarder.requested(PUBLISH, answers::add, 0);
      reply("p", PublishOutcome.ACCEPTED, 10);
      assertEquals(List.of(), answers);
      forwarder.tick(PublishForwarder.TIME_LIMIT_MS);
      assertEquals(List.of(PublishOutcome.ACCEPTED), outcomes());
    }
  }

  @Nested
  class Resends {
    /** Guards against a lost message that ends in the time limit. */
    @Test
    void followWhenNobodyAnswers() {
      forwarder.requested(PUBLISH, answers::add, 0);
      forwarder.tick(999);
      assertEquals(1, sent.size());
      forwarder.tick(1_000);
      assertEquals(2, sent.size());
      assertEquals(sent.get(0), sent.get(1));
    }

    /** Guards against a long wait after a change of leader, and against a storm of resends. */
    @Test
    void followSoonAfterAnotherLeaderIsNamed() {
      forwarder.requested(PUBLISH, answers::add, 0);
      forwarder.notLeader(10);
      forwarder.notLeader(11);
      assertEquals(200, forwarder.nextTickMs());
    }
  }

  @Nested
  class Answers {
    /** Guards against an answer to an earlier process that had this name. */
    @Test
    void needThisProcess() {
      forwarder.requested(PUBLISH, answers::add, 0);
      reply("before", PublishOutcome.IN_FORCE, 10);
      assertEquals(List.of(), answers);
    }

    /** Guards against an answer that is lost because the publisher's connection had no room. */
    @Test
    void areOfferedUntilTheyAreTaken() {
      List<Boolean> refusals = new ArrayList<>(List.of(true, true));
      forwarder.requested(
          PUBLISH, answer -> refusals.isEmpty() ? answers.add(answer) : !refusals.remove(0), 0);
      reply("p", PublishOutcome.IN_FORCE, 10);
      forwarder.tick(forwarder.nextTickMs());
      assertEquals(List.of(), answers);
      forwarder.tick(forwarder.nextTickMs());
      assertEquals(List.of(PublishOutcome.IN_FORCE), outcomes());
      assertEquals(Long.MAX_VALUE, forwarder.nextTickMs());
    }
  }

  @Nested
  class Overload {
    /** Guards against memory without a bound for publishes of up to 1 MiB. */
    @Test
    void isAnsweredAtOnce() {
      for (int i = 0; i <= PublishForwarder.MAX_WAITING; i++) {
        forwarder.requested(PUBLISH, answers::add, 0);
      }
      assertEquals(PublishForwarder.MAX_WAITING, sent.size());
      assertEquals(List.of(PublishOutcome.UNANSWERED), outcomes());
    }
  }
}
