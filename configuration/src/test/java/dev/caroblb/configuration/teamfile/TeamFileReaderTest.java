package dev.caroblb.configuration.teamfile;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import dev.caroblb.core.CallClass;
import dev.caroblb.core.CallPolicy;
import dev.caroblb.core.ModelId;
import io.vavr.control.Either;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import java.util.stream.Collectors;
import net.jqwik.api.Arbitraries;
import net.jqwik.api.Arbitrary;
import net.jqwik.api.ForAll;
import net.jqwik.api.Group;
import net.jqwik.api.Property;
import net.jqwik.api.Provide;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;

class TeamFileReaderTest {
  private static final Path EXAMPLES = Path.of("..", "examples", "teams");

  private static String example(String name) throws IOException {
    return Files.readString(EXAMPLES.resolve(name));
  }

  private static List<TeamFileError> errorsOf(String text) {
    return TeamFileReader.read("team.toml", text).getLeft();
  }

  @Nested
  class Examples {
    /** Guards against an example that no longer matches the format. */
    @Test
    void receiptsIsValid() throws IOException {
      TeamFile file = TeamFileReader.read("receipts.toml", example("receipts.toml")).get();
      assertEquals("receipts", file.team());
      assertEquals(Set.of("reading", "check", "posting"), file.calls().keySet());
      assertEquals(12, file.models().get(0).replicas());
      assertEquals(60, file.workspaces().get(0).share());
    }

    /** Guards against a key of a call that is read into the wrong field. */
    @Test
    void staffingHasItsPolicies() throws IOException {
      TeamFile file = TeamFileReader.read("staffing.toml", example("staffing.toml")).get();
      ModelId model = ModelId.parse("plan-llm@2");
      assertEquals(
          new CallPolicy(
              "plan",
              Optional.of(model),
              Optional.empty(),
              true,
              2,
              3_600_000,
              true,
              true,
              CallClass.LONG),
          file.calls().get("plan"));
      assertFalse(file.calls().get("booking").repeatable());
      assertEquals(Optional.of("booking"), file.calls().get("booking").service());
    }
  }

  @Nested
  class Errors {
    /** Guards against a reader that stops at the first error. */
    @Test
    void areAllReportedWithLineKeyAndValue() {
      String text =
          """
          team = "a b"
          colour = "red"
          [[workspaces]]
          name = "w"
          token_sha256 = "12"
          share = 101
          [calls.sort]
          service = "s"
          priority = 10
          deadline_ms = "soon"
          repeatable = 1
          class = "medium"
          """;
      Set<String> found =
          errorsOf(text).stream()
              .map(error -> error.line() + " " + error.key() + " " + error.found())
              .collect(Collectors.toSet());
      assertEquals(
          Set.of(
              "1 team \"a b\"",
              "2 colour an unknown key",
              "5 workspaces[1].token_sha256 \"12\"",
              "6 workspaces[1].share 101",
              "3 workspaces[1].max_concurrent no value",
              "9 calls.sort.priority 10",
              "10 calls.sort.deadline_ms \"soon\"",
              "11 calls.sort.repeatable 1",
              "12 calls.sort.class \"medium\""),
          found);
    }

    /** Guards against an error message without the allowed values or the remedy. */
    @Test
    void nameTheAllowedValuesAndTheRemedy() {
      TeamFileError error = errorsOf("team = 7").get(0);
      assertTrue(error.message().startsWith("team.toml:1: team: found 7, allowed: 1 to 63"));
      assertTrue(error.message().endsWith("; correct the value"));
    }

    /** Guards against a call whose model is not listed, so that no engine would load it. */
    @Test
    void includeUnlistedModels() {
      String call = "deadline_ms = 1\nrepeatable = true\nclass = \"short\"\n";
      List<TeamFileError> errors =
          errorsOf(
              "team = \"t\"\n[calls.c]\nmodel = \"m@2\"\n"
                  + call
                  + "[[models]]\nname = \"m\"\nversion = \"1\"\nreplicas = 1\n");
      assertEquals(1, errors.size());
      assertTrue(errors.get(0).allowed().endsWith(": m@1"));
    }

    /** Guards against a call with neither a model nor a service. */
    @Test
    void includeACallWithoutModelOrService() {
      String call = "deadline_ms = 1\nrepeatable = true\nclass = \"short\"\n";
      assertEquals(
          "neither model nor service", errorsOf("team = \"t\"\n[calls.c]\n" + call).get(0).found());
    }

    /** Guards against duplicate workspaces and models, of which only one would take effect. */
    @Test
    void includeDuplicates() {
      String workspace =
          "[[workspaces]]\nname = \"w\"\nshare = 1\nmax_concurrent = 1\ntoken_sha256 = \""
              + "0".repeat(64)
              + "\"\n";
      String model = "[[models]]\nname = \"m\"\nreplicas = 1\n";
      List<TeamFileError> errors =
          errorsOf("team = \"t\"\n" + workspace + workspace + model + model);
      assertEquals(
          List.of("each workspace once", "each model once"),
          errors.stream().map(TeamFileError::allowed).toList());
    }

    /** Guards against missing-key errors for keys that follow a syntax error. */
    @Test
    void ofSyntaxDoNotHideValues() {
      List<TeamFileError> errors = errorsOf("team = 7\nshare = = 2\n");
      assertEquals(
          Set.of("", "team"), errors.stream().map(TeamFileError::key).collect(Collectors.toSet()));
    }
  }

  /** Run by both engines: Jupiter runs the examples and jqwik the properties. */
  @Nested
  @Group
  class HostileText {
    /** Guards against a stack overflow in the parser that reaches the caller. */
    @Test
    void deepNestingIsAnError() {
      assertTrue(TeamFileReader.read("f", "a = " + "[".repeat(100_000)).isLeft());
    }

    /** Guards against files that are too large for a message. */
    @Test
    void oversizeIsAnError() {
      String text = "# " + "x".repeat(TeamFileReader.MAX_FILE_BYTES);
      assertEquals("a file that is too long", errorsOf(text).get(0).found());
    }

    /** Guards against exceptions for arbitrary text. */
    @Property(tries = 500, seed = "41")
    void arbitraryTextNeverThrows(@ForAll String text) {
      read(text);
    }

    /** Guards against exceptions for text that is similar to a team file. */
    @Property(tries = 1000, seed = "42")
    void mutatedFilesNeverThrow(@ForAll("pieces") List<String> pieces) {
      read(String.join("", pieces));
    }

    private void read(String text) {
      Either<List<TeamFileError>, TeamFile> result = TeamFileReader.read("f", text);
      assertTrue(result.isRight() || !result.getLeft().isEmpty());
    }

    @Provide
    Arbitrary<List<String>> pieces() {
      return Arbitraries.of(
              "team",
              "calls",
              "workspaces",
              "models",
              "model",
              "name",
              "share",
              "replicas",
              "a",
              "[",
              "]",
              "[[",
              "]]",
              "{",
              "}",
              ".",
              ",",
              " = ",
              "\n",
              "\n",
              "\"",
              "'",
              "\"x\"",
              "\"\"\"",
              "#",
              "1",
              "-1",
              "9999999999999999999",
              "true",
              "1979-05-27",
              "inf",
              "\\u",
              "\u0000",
              "\ud800")
          .list()
          .ofMaxSize(40);
    }
  }
}
