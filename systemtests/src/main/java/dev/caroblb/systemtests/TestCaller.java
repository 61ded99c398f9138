package dev.caroblb.systemtests;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.io.BufferedReader;
import java.io.IOException;
import java.io.InputStream;
import java.io.InputStreamReader;
import java.io.UncheckedIOException;
import java.net.URI;
import java.net.http.HttpClient;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.function.LongConsumer;

/** HTTP client for callers and operators of the system, and for the status of its processes. */
public final class TestCaller {
  private static final ObjectMapper MAPPER = new ObjectMapper();
  private static final Duration TIMEOUT = Duration.ofSeconds(60);

  private final HttpClient client =
      HttpClient.newBuilder()
          .version(HttpClient.Version.HTTP_1_1)
          .connectTimeout(Duration.ofSeconds(2))
          .build();

  /** A complete response that is not a stream. */
  public record Response(int status, JsonNode body, Map<String, List<String>> headers) {
    public String reason() {
      return body.path("reason").asText();
    }

    public String kind() {
      return body.path("kind").asText();
    }
  }

  /** The part of a stream that was received, or the refusal of the call. */
  public record StreamResult(
      int status,
      String generation,
      long firstSequence,
      List<String> tokens,
      Optional<JsonNode> finalEvent,
      JsonNode refusal) {
    /** Result of a request that got no response. */
    public static StreamResult unreachable() {
      return new StreamResult(0, "", 0, List.of(), Optional.empty(), MAPPER.createObjectNode());
    }

    public boolean complete() {
      return finalEvent
          .map(event -> event.path("status").asText().equals("complete"))
          .orElse(false);
    }

    public long lastSequence() {
      return firstSequence + tokens.size() - 1;
    }
  }

  public Response get(String address, String path) throws IOException, InterruptedException {
    return send(request(address, path).GET().build());
  }

  /** Sends a POST request without a body. */
  Response postEmpty(String address, String path) throws IOException, InterruptedException {
    return send(request(address, path).POST(HttpRequest.BodyPublishers.noBody()).build());
  }

  private static HttpRequest.Builder request(String address, String path) {
    return HttpRequest.newBuilder(URI.create("http://" + address + path)).timeout(TIMEOUT);
  }

  private Response send(HttpRequest request) throws IOException, InterruptedException {
    HttpResponse<String> response =
        client.send(request, HttpResponse.BodyHandlers.ofString(StandardCharsets.UTF_8));
    JsonNode body =
        response.body().startsWith("{")
            ? MAPPER.readTree(response.body())
            : MAPPER.createObjectNode().put("text", response.body());
    return new Response(response.statusCode(), body, response.headers().map());
  }

  /**
   * Publishes the given team files.
   *
   * @param request identity of the publishing step, reported if another publish wins the number
   */
  public Response publish(String address, long number, String request, Path... files)
      throws IOException, InterruptedException {
    ArrayNode nodes = MAPPER.createArrayNode();
    for (Path file : files) {
      nodes
          .addObject()
          .put("name", String.valueOf(file.getFileName()))
          .put("text", Files.readString(file));
    }
    return publish(address, number, request, nodes);
  }

  public Response publish(String address, long number, String request, ArrayNode files)
      throws IOException, InterruptedException {
    ObjectNode body = MAPPER.createObjectNode().put("number", number).put("request", request);
    body.set("files", files);
    return send(
        request(address, "/v1/publishes")
            .header("Authorization", "Bearer " + TestCluster.OPERATOR_TOKEN)
            .POST(HttpRequest.BodyPublishers.ofString(body.toString()))
            .build());
  }

  /** Orders the evacuation of a failure domain, or withdraws the order. */
  Response evacuate(String address, String domain, boolean begin)
      throws IOException, InterruptedException {
    return send(
        request(address, "/v1/evacuations/" + domain)
            .header("Authorization", "Bearer " + TestCluster.OPERATOR_TOKEN)
            .method(begin ? "POST" : "DELETE", HttpRequest.BodyPublishers.noBody())
            .build());
  }

  private static HttpRequest.Builder callRequest(String address, String workspace, String call) {
    return request(address, "/v1/workspaces/" + workspace + "/calls/" + call)
        .header("Authorization", "Bearer example-token-" + workspace);
  }

  /** Makes a call with an idempotency key. */
  public Response postWithKey(
      String address, String workspace, String call, String key, String body)
      throws IOException, InterruptedException {
    return send(
        callRequest(address, workspace, call)
            .header("Idempotency-Key", key)
            .POST(HttpRequest.BodyPublishers.ofString(body))
            .build());
  }

  /** Makes a streaming call and passes the sequence number of each token to {@code onToken}. */
  public StreamResult stream(
      String address, String workspace, String call, String prompt, LongConsumer onToken)
      throws IOException, InterruptedException {
    return readStream(
        callRequest(address, workspace, call)
            .POST(HttpRequest.BodyPublishers.ofString(prompt))
            .build(),
        onToken);
  }

  /** Resumes a stream after the given sequence number. */
  public StreamResult resume(String address, String workspace, String generation, long after)
      throws IOException, InterruptedException {
    return readStream(
        request(address, "/v1/generations/" + generation + "/resume")
            .header("Authorization", "Bearer example-token-" + workspace)
            .header("Caroblb-Workspace", workspace)
            .header("Last-Event-ID", Long.toString(after))
            .POST(HttpRequest.BodyPublishers.noBody())
            .build(),
        sequence -> {});
  }

  private StreamResult readStream(HttpRequest request, LongConsumer onToken)
      throws IOException, InterruptedException {
    HttpResponse<InputStream> response =
        client.send(request, HttpResponse.BodyHandlers.ofInputStream());
    if (response.statusCode() != 200) {
      try (InputStream body = response.body()) {
        return new StreamResult(
            response.statusCode(), "", 0, List.of(), Optional.empty(), MAPPER.readTree(body));
      }
    }
    StreamReader reader = new StreamReader(onToken);
    try (BufferedReader lines =
        new BufferedReader(new InputStreamReader(response.body(), StandardCharsets.UTF_8))) {
      lines.lines().forEach(reader::onLine);
    } catch (UncheckedIOException | IOException e) {
      reader.connectionLost = true;
    }
    return reader.result();
  }

  /** Collects the events of a stream. Fails at the first missing, repeated or reordered token. */
  private static final class StreamReader {
    private final LongConsumer onToken;
    private final List<String> tokens = new ArrayList<>();
    private String event = "";
    private String id = "";
    private String generation = "";
    private long firstSequence;
    private Optional<JsonNode> finalEvent = Optional.empty();
    private boolean connectionLost;

    StreamReader(LongConsumer onToken) {
      this.onToken = onToken;
    }

    void onLine(String line) {
      if (line.startsWith("event: ")) {
        event = line.substring(7);
      } else if (line.startsWith("id: ")) {
        id = line.substring(4);
      } else if (line.startsWith("data: ")) {
        onData(line.substring(6));
      }
    }

    private void onData(String text) {
      if (finalEvent.isPresent()) {
        throw new IllegalStateException("received an event after the final event: " + text);
      }
      try {
        if (event.equals("final")) {
          finalEvent = Optional.of(MAPPER.readTree(text));
          return;
        }
        addToken(MAPPER.readTree(text).path("text").asText());
      } catch (IOException e) {
        throw new UncheckedIOException(e);
      }
    }

    private void addToken(String text) {
      int slash = id.lastIndexOf('/');
      long sequence = Long.parseLong(id.substring(slash + 1));
      if (tokens.isEmpty()) {
        generation = id.substring(0, slash);
        firstSequence = sequence;
      }
      String expected = generation + "#" + (firstSequence + tokens.size());
      if (!text.equals(expected) || sequence != firstSequence + tokens.size()) {
        throw new IllegalStateException("expected token " + expected + " but received " + text);
      }
      tokens.add(text);
      onToken.accept(sequence);
    }

    StreamResult result() {
      return new StreamResult(
          200,
          generation,
          firstSequence,
          tokens,
          finalEvent,
          MAPPER.createObjectNode().put("cut", connectionLost));
    }
  }
}
