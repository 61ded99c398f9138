package dev.caroblb.configuration;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertInstanceOf;
import static org.junit.jupiter.api.Assertions.assertNotEquals;
import static org.junit.jupiter.api.Assertions.assertSame;

import dev.caroblb.configuration.ConfigurationCommand.Accept;
import dev.caroblb.configuration.ConfigurationCommand.CheckedFile;
import java.util.List;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;

class ConfigurationStateTest {
  private ConfigurationState state = ConfigurationState.empty();

  private static CheckedFile file(String team, String... workspaces) {
    return new CheckedFile(team + ".toml", "", team, List.of(workspaces));
  }

  private CommandResult accept(long number, String digest, CheckedFile... files) {
    ConfigurationState.Change change =
        state.accept(new Accept(number, "request-" + digest, digest, List.of(files)));
    state = change.state();
    return change.result();
  }

  private List<String> changesAfter(long number) {
    return state.changesAfter(FileCursor.after(number)).stream().map(StoredFile::team).toList();
  }

  @Nested
  class Numbers {
    /** Guards against a resend that is applied twice or answered differently. */
    @Test
    void answerAResendFromTheRecord() {
      accept(1, "a", file("t"));
      accept(2, "b", file("u"));
      ConfigurationState before = state;
      assertEquals(new CommandResult.Accepted(1), accept(1, "a", file("t")));
      assertSame(before, state);
    }

    /**
     * Guards against accepting different content under the same number, and against a conflict
     * answer that does not name the winner.
     */
    @Test
    void refuseAnotherContent() {
      accept(1, "a", file("t"));
      assertEquals(new CommandResult.Conflict(1, "request-a", "a"), accept(1, "b", file("u")));
    }

    /** Guards against a configuration that returns to an older number. */
    @Test
    void thatWereSkippedAreOutdated() {
      accept(5, "a", file("t"));
      assertEquals(new CommandResult.Outdated(3, 5), accept(3, "b", file("t")));
    }

    /** Guards against an unbounded number of recorded publishes. */
    @Test
    void areRecordedForTheLastThousand() {
      for (int number = 1; number <= 1_001; number++) {
        accept(number, "d" + number, file("t"));
      }
      assertEquals(1_000, state.recorded().size());
      assertInstanceOf(CommandResult.Outdated.class, accept(1, "d1", file("t")));
      assertEquals(new CommandResult.Accepted(2), accept(2, "d2", file("t")));
    }
  }

  @Nested
  class Claims {
    /**
     * Guards against a workspace owned by two teams, and against a publish that is accepted only in
     * part.
     */
    @Test
    void ofAnotherTeamsWorkspaceAreRefused() {
      accept(1, "a", file("t", "w"));
      assertInstanceOf(CommandResult.Refused.class, accept(2, "b", file("u", "w"), file("v", "x")));
      assertEquals(1, state.number());
      assertEquals(new CommandResult.Accepted(2), accept(2, "c", file("v", "x")));
    }

    /** Guards against a claim that outlives the file version that made it. */
    @Test
    void endWithTheFileVersion() {
      accept(1, "a", file("t", "w"));
      assertEquals(new CommandResult.Accepted(2), accept(2, "b", file("t"), file("u", "w")));
    }
  }

  @Nested
  class Changes {
    /**
     * Guards against files that are left out, and against superseded versions that are sent again.
     */
    @Test
    void areTheCurrentVersionsInOrder() {
      accept(1, "a", file("t"), file("u"));
      accept(2, "b", file("v"));
      accept(4, "c", file("t"));
      assertEquals(List.of("u", "v", "t"), changesAfter(0));
      assertEquals(List.of("t"), changesAfter(2));
      assertEquals(List.of(), changesAfter(4));
    }

    /** Guards against losing changes when superseded ones are removed. */
    @Test
    void surviveCompaction() {
      accept(1, "first", file("u"));
      for (int number = 2; number <= 2_500; number++) {
        accept(number, "d" + number, file("t"));
      }
      assertEquals(List.of("u", "t"), changesAfter(0));
    }
  }

  @Nested
  class Digest {
    /**
     * Guards against equal digests of different file lists, and against digests that depend on the
     * request.
     */
    @Test
    void dependsOnNamesAndTextsOnly() {
      String digest = publish(1, "p", "ab", "c");
      assertNotEquals(digest, publish(1, "p", "a", "bc"));
      assertEquals(digest, publish(2, "q", "ab", "c"));
    }

    private String publish(long number, String request, String name, String text) {
      return new Publish(number, request, List.of(new PublishedFile(name, text))).digest();
    }
  }
}
