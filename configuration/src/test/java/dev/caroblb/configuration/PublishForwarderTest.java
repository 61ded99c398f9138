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
    forwarder.replyReceived(
        new PeerMessage.PublishReply(incarnation, 1, PublishAnswer.of(PUBLISH, outcome, "")),
        nowMs);
  }

  private List<PublishOutcome> outcomes() {
    return answers.stream().map(PublishAnswer::outcome).toList();
  }

  @Nested
  class TimeLimit {
    /**
     * Guards against leaving a publisher without an answer, or reporting a failure although the
     * outcome is unknown.
     */
    @Test
    void endsWithUnansweredIfNoAnswerArrived() {
      forwarder.publishRequested(PUBLISH, answers::add, 0);
      forwarder.tick(PublishForwarder.TIME_LIMIT_MS - 1);
      assertEquals(List.of(), answers);
      forwarder.tick(PublishForwarder.TIME_LIMIT_MS);
      assertEquals(List.of(PublishOutcome.UNANSWERED), outcomes());
      assertTrue(answers.get(0).detail().contains("same number again"));
    }

    /** Guards against reporting an accepted publish as unanswered. */
    @Test
    void endsWithAcceptedIfThePublishWasAccepted() {
      forwarder.publishRequested(PUBLISH, answers::add, 0);
      reply("p", PublishOutcome.ACCEPTED, 10);
      assertEquals(List.of(), answers);
      forwarder.tick(PublishForwarder.TIME_LIMIT_MS);
      assertEquals(List.of(PublishOutcome.ACCEPTED), outcomes());
    }
  }

  @Nested
  class Resends {
    /** Guards against a lost message that is not resent before the time limit. */
    @Test
    void followWhenNoAnswerArrives() {
      forwarder.publishRequested(PUBLISH, answers::add, 0);
      forwarder.tick(999);
      assertEquals(1, sent.size());
      forwarder.tick(1_000);
      assertEquals(2, sent.size());
      assertEquals(sent.get(0), sent.get(1));
    }

    /** Guards against a late resend after a leader change, and against resends without a delay. */
    @Test
    void followSoonAfterAnotherLeaderIsNamed() {
      forwarder.publishRequested(PUBLISH, answers::add, 0);
      forwarder.leaderHintReceived(10);
      forwarder.leaderHintReceived(11);
      assertEquals(200, forwarder.nextTickMs());
    }
  }

  @Nested
  class Answers {
    /** Guards against accepting an answer to an earlier process of this instance. */
    @Test
    void mustBeForThisProcess() {
      forwarder.publishRequested(PUBLISH, answers::add, 0);
      reply("before", PublishOutcome.IN_FORCE, 10);
      assertEquals(List.of(), answers);
    }

    /** Guards against losing an answer that the publisher's connection could not take at first. */
    @Test
    void areOfferedUntilTheyAreTaken() {
      List<Boolean> refusals = new ArrayList<>(List.of(true, true));
      forwarder.publishRequested(
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
    /** Guards against unbounded memory for pending publishes of up to 1 MiB each. */
    @Test
    void isAnsweredAtOnce() {
      for (int i = 0; i <= PublishForwarder.MAX_PENDING; i++) {
        forwarder.publishRequested(PUBLISH, answers::add, 0);
      }
      assertEquals(PublishForwarder.MAX_PENDING, sent.size());
      assertEquals(List.of(PublishOutcome.UNANSWERED), outcomes());
    }
  }
}
