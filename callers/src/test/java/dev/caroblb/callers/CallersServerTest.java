package dev.caroblb.callers;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import dev.caroblb.core.CallClass;
import dev.caroblb.core.CallPolicy;
import dev.caroblb.core.CallRequest;
import dev.caroblb.core.GenerationId;
import dev.caroblb.core.ModelId;
import dev.caroblb.core.Outlet;
import dev.caroblb.core.Payload;
import dev.caroblb.core.Refusal;
import dev.caroblb.core.RefusalReason;
import dev.caroblb.core.SystemMillisClock;
import dev.caroblb.core.TargetId;
import dev.caroblb.core.WorkspaceId;
import dev.caroblb.http.HttpLimits;
import dev.caroblb.streams.CallerEvent;
import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.URI;
import java.net.http.HttpClient;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.time.Duration;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.locks.LockSupport;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;

/** Tests of the front end with services that record what is submitted. */
class CallersServerTest {
  private static final String CALL = "/v1/workspaces/receipts/calls/reading";
  private static final GenerationId GENERATION = new GenerationId(new TargetId("engine"), 1, "g");
  private static final String RESUME = "/v1/generations/engine.1.g/resume";

  private final LinkedBlockingQueue<Object> submitted = new LinkedBlockingQueue<>();
  private final LinkedBlockingQueue<RefusalReason> refused = new LinkedBlockingQueue<>();
  private final HttpClient client = HttpClient.newHttpClient();
  private int maxStreams = 10;
  private CallersServer server;

  /** Runs once the response to a call is complete, before its connection can write it. */
  private Runnable beforeWriting = () -> {};

  private final class Calls implements CallSink {
    @Override
    public Optional<Refusal> submit(CallRequest call, Outlet<CallerEvent> caller) {
      submitted.add(call);
      caller.offer(new CallerEvent.Token(GENERATION, 1, Payload.ofText("\"x\"")));
      caller.offer(new CallerEvent.Completed(GENERATION, 1));
      beforeWriting.run();
      return Optional.empty();
    }

    @Override
    public Optional<Refusal> resume(ResumeRequest resume, Outlet<CallerEvent> caller) {
      submitted.add(resume);
      return Optional.of(Refusal.of(RefusalReason.RING_FULL));
    }

    @Override
    public void callerWritable(long call) {}

    @Override
    public void callerDisconnected(long call) {}
  }

  private static final class Gate implements AdmissionGate, WorkspaceAccess {
    @Override
    public Optional<Refusal> closedReason() {
      return Optional.empty();
    }

    @Override
    public Optional<WorkspaceAccess> workspace(WorkspaceId workspace) {
      return workspace.name().equals("receipts") ? Optional.of(this) : Optional.empty();
    }

    @Override
    public String tokenSha256() {
      return BearerTokens.sha256("secret");
    }

    @Override
    public Optional<CallPolicy> call(String name) {
      return Optional.of(
          new CallPolicy(
              name,
              Optional.of(ModelId.of("reader")),
              Optional.empty(),
              true,
              5,
              60_000,
              !name.equals("posting"),
              false,
              CallClass.LONG));
    }
  }

  private static final class Instance implements EntryDirectory, StatusSource {
    @Override
    public List<EntryAddress> entries() {
      return List.of(new EntryAddress("127.0.0.1:1", "entry-1", "a"));
    }

    @Override
    public long addressTtlMs() {
      return 5_000;
    }

    @Override
    public String status() {
      return "{}";
    }

    @Override
    public String metrics() {
      return "up 1\n";
    }
  }

  @BeforeEach
  void listen() throws IOException {
    Instance instance = new Instance();
    CallersServer.InstanceServices services =
        new CallersServer.InstanceServices(
            new Gate(),
            new Calls(),
            (publish, reply) -> submitted.add(publish),
            submitted::add,
            instance,
            instance,
            refused::add,
            new FixedEvacuations());
    CallersServer.Limits limits =
        new CallersServer.Limits(
            HttpLimits.DEFAULTS,
            maxStreams,
            BearerTokens.sha256("operator"),
            BearerTokens.sha256("target"));
    InetSocketAddress address = new InetSocketAddress(InetAddress.getLoopbackAddress(), 0);
    server = CallersServer.start(services, limits, address, new SystemMillisClock());
  }

  @AfterEach
  void stop() {
    server.close();
  }

  private HttpResponse<String> send(String method, String path, String body, String... headers)
      throws IOException, InterruptedException {
    HttpRequest.Builder request =
        HttpRequest.newBuilder(URI.create("http://127.0.0.1:" + server.address().getPort() + path))
            .timeout(Duration.ofSeconds(10))
            .method(method, HttpRequest.BodyPublishers.ofString(body));
    if (headers.length > 0) {
      request.headers(headers);
    }
    return client.send(request.build(), HttpResponse.BodyHandlers.ofString());
  }

  private void assertRefused(HttpResponse<String> response, RefusalReason reason) {
    assertEquals(reason.httpStatus(), response.statusCode());
    assertTrue(response.body().contains("\"kind\":\"" + reason.kind().wireName() + "\""));
    assertTrue(response.body().contains("\"reason\":\"" + reason.wireName() + "\""));
    assertEquals(reason, refused.poll());
    assertEquals(0, refused.size(), "counted more than once");
  }

  @Nested
  class Credentials {
    /** Guards against an unauthenticated request that reaches a duty. */
    @Test
    void wrongTokensReachNoSink() throws Exception {
      for (String path : List.of(CALL, RESUME, "/v1/publishes", "/v1/targets")) {
        HttpResponse<String> response =
            send("POST", path, "{}", "Authorization", "Bearer x", "Caroblb-Workspace", "receipts");
        assertRefused(response, RefusalReason.UNAUTHENTICATED);
      }
      assertEquals(0, submitted.size());
    }
  }

  @Nested
  class Malformed {
    /** Guards against a body that is not JSON, or lacks a field, and reaches a duty. */
    @Test
    void bodies() throws Exception {
      for (String body : List.of("", "{", "[]", "{\"number\":1}", "{\"number\":\"x\"}")) {
        assertRefused(
            send("POST", "/v1/publishes", body, "Authorization", "Bearer operator"),
            RefusalReason.MALFORMED);
        assertRefused(
            send("POST", "/v1/targets", body, "Authorization", "Bearer target"),
            RefusalReason.MALFORMED);
      }
      assertEquals(0, submitted.size());
    }

    /** Guards against accepting a deadline that is not a number or is out of range. */
    @Test
    void deadlines() throws Exception {
      for (String deadline : List.of("x", "0", "-1", "99999999999")) {
        HttpResponse<String> response =
            send(
                "POST",
                CALL,
                "{}",
                "Authorization",
                "Bearer secret",
                "Caroblb-Deadline-Ms",
                deadline);
        assertRefused(response, RefusalReason.MALFORMED);
      }
      assertEquals(0, submitted.size());
    }

    /** Guards against accepting a non-repeatable call without an idempotency key. */
    @Test
    void missingKey() throws Exception {
      assertRefused(
          send("POST", CALL.replace("reading", "posting"), "{}", "Authorization", "Bearer secret"),
          RefusalReason.KEY_REQUIRED);
      assertEquals(0, submitted.size());
    }

    /**
     * Guards against splicing two generations: the last event id must belong to the resumed
     * generation.
     */
    @Test
    void lastEventOfAnotherGeneration() throws Exception {
      HttpResponse<String> response =
          send(
              "POST",
              RESUME,
              "",
              "Authorization",
              "Bearer secret",
              "Caroblb-Workspace",
              "receipts",
              "Last-Event-ID",
              "engine.1.other/5");
      assertRefused(response, RefusalReason.MALFORMED);
      assertEquals(0, submitted.size());
    }
  }

  @Nested
  class Served {
    /** Guards against a stream without a final event or with more than one. */
    @Test
    void callGetsOneFinalEvent() throws Exception {
      HttpResponse<String> response = send("POST", CALL, "{}", "Authorization", "Bearer secret");
      assertEquals(200, response.statusCode());
      assertTrue(response.body().contains("id: engine.1.g/1\n"), response.body());
      assertEquals(2, response.body().split("event: final", -1).length);
      assertEquals(0, server.openCalls());
    }

    /** Guards against a refused resume that keeps its stream reserved. */
    @Test
    void refusedResumeReleasesItsStream() throws Exception {
      HttpResponse<String> response =
          send(
              "POST",
              RESUME,
              "",
              "Authorization",
              "Bearer secret",
              "Caroblb-Workspace",
              "receipts",
              "Last-Event-ID",
              "engine.1.g/5");
      assertRefused(response, RefusalReason.RING_FULL);
      assertEquals(1, submitted.size());
      assertEquals(0, server.openCalls());
    }

    /** Guards against missing read-only routes. */
    @Test
    void readOnlyRoutes() throws Exception {
      assertTrue(send("GET", "/v1/entries", "").body().contains("\"keep_ms\":5000"));
      assertEquals(200, send("GET", "/v1/status", "").statusCode());
      assertEquals("up 1\n", send("GET", "/metrics", "").body());
      assertEquals(404, send("GET", "/v1/nothing", "").statusCode());
    }
  }

  @Nested
  class Closing {
    /**
     * Guards against a planned stop that cuts a response which is complete but not yet written to
     * its connection.
     */
    @Test
    void writesCompleteResponsesFirst() throws Exception {
      Thread closer = new Thread(server::close);
      beforeWriting =
          () -> {
            closer.start();
            while (closer.getState() == Thread.State.RUNNABLE) {
              LockSupport.parkNanos(TimeUnit.MILLISECONDS.toNanos(1));
            }
          };
      HttpResponse<String> response = send("POST", CALL, "{}", "Authorization", "Bearer secret");
      closer.join();
      assertTrue(response.body().contains("event: final"), response::body);
    }
  }

  @Nested
  class StreamLimit {
    /**
     * Guards against exceeding the limit of open streams, which bounds the memory of the instance.
     */
    @Test
    void callOverTheLimitIsRefused() throws Exception {
      stop();
      maxStreams = 0;
      listen();
      assertRefused(
          send("POST", CALL, "{}", "Authorization", "Bearer secret"), RefusalReason.STREAM_LIMIT);
      assertEquals(0, submitted.size());
    }
  }
}
