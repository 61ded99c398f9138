package dev.caroblb.cli;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.PrintStream;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

class CaroblbTest {
  private static final String STREAM =
      "event: token\nid: e1.1.g/1\ndata: {}\n\n: keep-alive\n\nevent: token\nid: e1.1.g/2\ndata: {}\n\n";

  private final ByteArrayOutputStream out = new ByteArrayOutputStream();
  private final ByteArrayOutputStream err = new ByteArrayOutputStream();

  @TempDir private Path folder;

  private ExitCode run(String... args) throws InterruptedException {
    Console console =
        new Console(
            new PrintStream(out, true, StandardCharsets.UTF_8),
            new PrintStream(err, true, StandardCharsets.UTF_8));
    return new Caroblb(
            console,
            List.of(
                new PublishCommand(),
                new StatusCommand(),
                new EvacuateCommand(),
                new LocateCommand(),
                new LoadCommand(),
                new CheckCommand(new ConfigurationChecker())))
        .run(args);
  }

  private String out() {
    return out.toString(StandardCharsets.UTF_8);
  }

  private String file(String name, String text) throws IOException {
    return Files.writeString(folder.resolve(name), text).toString();
  }

  @Nested
  class Arguments {
    /** Guards against invalid arguments that exit with the code for success. */
    @Test
    void invalidArgumentsGiveTheUsageCode() throws Exception {
      assertEquals(ExitCode.USAGE, run());
      assertEquals(ExitCode.USAGE, run("publish"));
      assertEquals(ExitCode.USAGE, run("locate"));
      assertEquals(ExitCode.USAGE, run("status", "--entry", "nowhere"));
      String token = file("token", "secret");
      assertEquals(
          ExitCode.USAGE,
          run("publish", "--number", "1", "--entry", "127.0.0.1:1", "--token-file", token));
    }

    /** Guards against help that omits a subcommand or the exit codes. */
    @Test
    void helpNamesEverySubcommand() throws Exception {
      assertEquals(ExitCode.DONE, run("--help"));
      for (String name :
          List.of("publish", "status", "evacuate", "locate", "load", "check", "Exit codes")) {
        assertTrue(out().contains(name), name);
      }
    }
  }

  @Nested
  class Evacuate {
    private ExitCode evacuate(FakeEntry... entries) throws Exception {
      List<String> args = new ArrayList<>(List.of("evacuate", "--domain", "domain-1", "--end"));
      args.addAll(List.of("--token-file", file("token", "secret"), "--time-limit-ms", "300"));
      for (FakeEntry entry : entries) {
        args.addAll(List.of("--entry", entry.address()));
      }
      return run(args.toArray(String[]::new));
    }

    /** Guards against an order that ends at an instance which cannot accept it. */
    @Test
    void triesTheEntriesUntilOneAccepts() throws Exception {
      String accepted = "{\"outcome\":\"accepted\",\"revision\":2,\"evacuated\":[]}";
      try (FakeEntry silent = new FakeEntry(FakeEntry.noResponse());
          FakeEntry follower = new FakeEntry(FakeEntry.json(503, "{\"leader\":\"r\"}"));
          FakeEntry leader = new FakeEntry(FakeEntry.json(200, accepted))) {
        assertEquals(ExitCode.DONE, evacuate(silent, follower, leader));
        assertEquals(List.of("DELETE /v1/evacuations/domain-1 "), leader.received());
        assertTrue(out().contains(accepted), out());
        assertEquals(ExitCode.UNKNOWN, evacuate(silent, follower));
      }
    }

    /** Guards against a refused order that exits with success or is sent again. */
    @Test
    void refusedOrderEnds() throws Exception {
      try (FakeEntry entry = new FakeEntry(FakeEntry.json(400, "{}"))) {
        assertEquals(ExitCode.REFUSED, evacuate(entry, entry));
        assertEquals(1, entry.received().size());
      }
    }
  }

  @Nested
  class Publish {
    private ExitCode publish(long limitMs, FakeEntry... entries) throws Exception {
      List<String> args =
          new ArrayList<>(List.of("publish", "--number", "7", "--request", "r1", "--token-file"));
      args.add(file("token", "secret\n"));
      args.addAll(List.of("--time-limit-ms", Long.toString(limitMs)));
      for (FakeEntry entry : entries) {
        args.addAll(List.of("--entry", entry.address()));
      }
      args.add(file("a.toml", "x = 1\n"));
      args.add(file("b.toml", "y = 2\n"));
      return run(args.toArray(String[]::new));
    }

    /** Guards against a publish that is not retried, or is changed, after a lost response. */
    @Test
    void resendsTheSameRequestToTheNextEntryAfterALostResponse() throws Exception {
      String answer =
          "{\"number\":7,\"outcome\":\"in_force\",\"files\":["
              + "{\"name\":\"a.toml\",\"outcome\":\"accepted\",\"errors\":[]}]}";
      try (FakeEntry silent = new FakeEntry(FakeEntry.noResponse());
          FakeEntry healthy = new FakeEntry(FakeEntry.json(200, answer))) {
        assertEquals(ExitCode.DONE, publish(20_000, silent, healthy));
        assertEquals(1, silent.received().size());
        assertEquals(silent.received(), healthy.received());
        assertEquals(
            "POST /v1/publishes {\"number\":7,\"request\":\"r1\",\"files\":["
                + "{\"name\":\"a.toml\",\"text\":\"x = 1\\n\"},"
                + "{\"name\":\"b.toml\",\"text\":\"y = 2\\n\"}]}",
            healthy.received().get(0));
        assertTrue(out().contains("accepted a.toml"), out());
        assertTrue(out().contains("outcome=in_force"), out());
      }
    }

    /** Guards against a conflict that exits with success or does not print the winning publish. */
    @Test
    void conflictNamesTheWinner() throws Exception {
      String answer =
          "{\"number\":7,\"outcome\":\"conflict\",\"winner\":{\"request\":\"r2\"},"
              + "\"message\":\"publish under a greater number\",\"files\":[]}";
      try (FakeEntry entry = new FakeEntry(FakeEntry.json(409, answer))) {
        assertEquals(ExitCode.REFUSED, publish(20_000, entry));
        assertTrue(out().contains("winner: {\"request\":\"r2\"}"), out());
      }
    }

    /** Guards against a refused file that is printed without its errors. */
    @Test
    void refusedFilesShowTheirErrors() throws Exception {
      String answer =
          "{\"number\":7,\"outcome\":\"refused\",\"files\":["
              + "{\"name\":\"a.toml\",\"outcome\":\"refused\",\"errors\":[\"line 1: unknown key\"]}]}";
      try (FakeEntry entry = new FakeEntry(FakeEntry.json(422, answer))) {
        assertEquals(ExitCode.REFUSED, publish(20_000, entry));
        assertTrue(out().contains("refused a.toml: line 1: unknown key"), out());
      }
    }

    /** Guards against an unknown outcome reported as a refusal, or without the retry command. */
    @Test
    void unknownOutcomePrintsHowToRetry() throws Exception {
      try (FakeEntry entry = new FakeEntry(FakeEntry.json(503, "{\"reason\":\"no_leader\"}"))) {
        assertEquals(ExitCode.UNKNOWN, publish(1, entry));
        assertTrue(err.toString(StandardCharsets.UTF_8).contains("--number 7 --request r1"));
      }
    }

    /** Guards against a publish with an invalid token that is retried until the time limit. */
    @Test
    void wrongTokenIsNotRetried() throws Exception {
      String answer = "{\"kind\":\"not_run\",\"reason\":\"unauthenticated\",\"message\":\"m\"}";
      try (FakeEntry entry = new FakeEntry(FakeEntry.json(401, answer))) {
        assertEquals(ExitCode.REFUSED, publish(20_000, entry, entry));
        assertEquals(1, entry.received().size());
      }
    }
  }

  @Nested
  class Locate {
    /** Guards against a failed entry that keeps the next one from being queried. */
    @Test
    void queriesTheNextEntry() throws Exception {
      String answer =
          "{\"entries\":[{\"address\":\"10.0.0.1:7001\",\"instance\":\"a1\",\"domain\":\"d1\"}],"
              + "\"keep_ms\":5000}";
      try (FakeEntry silent = new FakeEntry(FakeEntry.noResponse());
          FakeEntry entry = new FakeEntry(FakeEntry.json(200, answer))) {
        assertEquals(
            ExitCode.DONE, run("locate", "--entry", silent.address(), "--entry", entry.address()));
        assertEquals("10.0.0.1:7001 a1 d1\nkeep_ms=5000\n", out());
      }
    }
  }

  @Nested
  class Status {
    /** Guards against a missing response of an instance that is not reported. */
    @Test
    void namesTheInstanceThatDidNotRespond() throws Exception {
      try (FakeEntry silent = new FakeEntry(FakeEntry.noResponse());
          FakeEntry entry = new FakeEntry(FakeEntry.json(200, "{\"number\":7}"))) {
        assertEquals(
            ExitCode.UNKNOWN,
            run("status", "--entry", silent.address(), "--entry", entry.address()));
        assertTrue(out().contains("\"number\" : 7"), out());
        assertTrue(err.toString(StandardCharsets.UTF_8).contains(silent.address()));
      }
    }
  }

  @Nested
  class Load {
    private ExitCode load(FakeEntry.Responder responder) throws Exception {
      try (FakeEntry entry = new FakeEntry(responder)) {
        return run(
            "load",
            "--entry",
            entry.address(),
            "--workspace",
            "w",
            "--call",
            "c",
            "--rate",
            "20",
            "--seconds",
            "1",
            "--drain-seconds",
            "10");
      }
    }

    private FakeEntry.Responder stream(String events) {
      return FakeEntry.response(200, "text/event-stream", events);
    }

    /** Guards against complete calls or token gaps that are not counted. */
    @Test
    void countsCompleteStreams() throws Exception {
      String end = "event: final\ndata: {\"status\":\"complete\"}\n\n";
      assertEquals(ExitCode.DONE, load(stream(STREAM + end)));
      assertTrue(out().matches("(?s).*sent=(\\d+) complete=\\1 .*unfinished=0.*"), out());
      assertTrue(out().contains("name=between_tokens"), out());
    }

    /** Guards against a truncated stream that is counted as a complete answer. */
    @Test
    void countsStreamsWithoutAFinalEventAsLost() throws Exception {
      assertEquals(ExitCode.REFUSED, load(stream(STREAM)));
      assertTrue(out().contains("kind=lost reason=no_final_event"), out());
    }

    /** Guards against a missing token, or one of another generation, that is not detected. */
    @Test
    void detectsTokensOutOfOrder() throws Exception {
      String end = "event: final\ndata: {\"status\":\"complete\"}\n\n";
      assertEquals(ExitCode.REFUSED, load(stream(STREAM.replace("g/2", "g/3") + end)));
      assertEquals(ExitCode.REFUSED, load(stream(STREAM.replace("e1.1.g/2", "e1.1.h/2") + end)));
      assertTrue(out().contains("kind=wrong reason=token_out_of_order"), out());
    }

    /** Guards against refusals that are not counted by reason. */
    @Test
    void countsRefusalsByReason() throws Exception {
      String answer = "{\"kind\":\"not_run\",\"reason\":\"backlog_full\"}";
      assertEquals(ExitCode.DONE, load(FakeEntry.json(503, answer)));
      assertTrue(out().contains("kind=refused reason=backlog_full"), out());
    }
  }

  @Nested
  class Check {
    /** Guards against an invalid file that exits with success, or a valid one that is refused. */
    @Test
    void invalidFileGivesTheRefusedCode() throws Exception {
      String good = "../examples/teams/receipts.toml";
      assertEquals(ExitCode.DONE, run("check", good));
      assertEquals(ExitCode.REFUSED, run("check", good, file("wrong.toml", "unknown = 1\n")));
      assertTrue(out().contains("valid " + good), out());
      assertTrue(out().contains("wrong.toml:1: unknown:"), out());
    }

    /** Guards against warnings that give the code for success or for an invalid file. */
    @Test
    void warningsGiveTheirOwnCodeAndJson() throws Exception {
      String text = Files.readString(Path.of("../examples/teams/receipts.toml"));
      String low =
          file("receipts.toml", text.replace("max_concurrent = 400", "max_concurrent = 5"));
      assertEquals(ExitCode.WARNINGS, run("check", "--json", low));
      assertEquals(1, Json.parseObject(out()).orElseThrow().path("warnings").asInt(), out());
    }

    /** Guards against a workspace that a file in force, which the publish keeps, defines, too. */
    @Test
    void workspacesOfFilesThatStayInForceAreErrors() throws Exception {
      String good = "../examples/teams/receipts.toml";
      String text = Files.readString(Path.of(good));
      String other = file("other.toml", text.replace("team = \"receipts\"", "team = \"other\""));
      assertEquals(ExitCode.REFUSED, run("check", "--in-force", good, other));
      assertTrue(out().contains("other.toml:workspaces receipts-mart: found"), out());
      assertTrue(out().contains("invalid " + other), out());
    }

    /** Guards against differences that are missed or that fail the check. */
    @Test
    void differencesFromTheFileInForceAreReported() throws Exception {
      String good = "../examples/teams/receipts.toml";
      String text = Files.readString(Path.of(good));
      String next = file("receipts.toml", text.replace("share = 60", "share = 61"));
      assertEquals(ExitCode.DONE, run("check", "--in-force", good, next));
      assertTrue(out().contains("share changed from 60 to 61"), out());
    }
  }
}
