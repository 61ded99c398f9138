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

/** A caller, operator and observer of the system. */
public final class TestCaller {
  private static final ObjectMapper MAPPER = new ObjectMapper();
  private static final Duration TIMEOUT = Duration.ofSeconds(60);

  private final HttpClient client =
      HttpClient.newBuilder()
          .version(HttpClient.Version.HTTP_1_1)
          .connectTimeout(Duration.ofSeconds(2))
          .build();

  /** A whole answer. */
  public record Answer(int status, JsonNode body, Map<String, List<String>> headers) {
    public String reason() {
      return body.path("reason").asText();
    }

    public String kind() {
      return body.path("kind").asText();
    }
  }

  /** A stream as far as it was received. */
  public record Stream(
      int status,
      String generation,
      long firstSequence,
      List<String> tokens,
      Optional<JsonNode> finalEvent,
      JsonNode refusal) {
    /** A stream that could not be reached. */
    public static Stream none() {
      return new Stream(0, "", 0, List.of(), Optional.empty(), MAPPER.createObjectNode());
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

  public Answer get(String address, String path) throws IOException, InterruptedException {
    return send(request(address, path).GET().build());
  }

  /** Sends a request without body. */
  Answer postPlain(String address, String path) throws IOException, InterruptedException {
    return send(request(address, path).POST(HttpRequest.BodyPublishers.noBody()).build());
  }

  private static HttpRequest.Builder request(String address, String path) {
    return HttpRequest.newBuilder(URI.create("http://" + address + path)).timeout(TIMEOUT);
  }

  private Answer send(HttpRequest request) throws IOException, InterruptedException {
    HttpResponse<String> response =
        client.send(request, HttpResponse.BodyHandlers.ofString(StandardCharsets.UTF_8));
    JsonNode body =
        response.body().startsWith("{")
            ? MAPPER.readTree(response.body())
            : MAPPER.createObjectNode().put("text", response.body());
    return new Answer(response.statusCode(), body, response.headers().map());
  }

  /** Publishes team files of this repository. */
  public Answer publish(String address, long number, String request, Path... files)
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

  public Answer publish(String address, long number, String request, ArrayNode files)
      throws IOException, InterruptedException {
    ObjectNode body = MAPPER.createObjectNode().put("number", number).put("request", request);
    body.set("files", files);
    return send(
        request(address, "/v1/publishes")
            .header("Authorization", "Bearer " + TestCluster.OPERATOR_TOKEN)
            .POST(HttpRequest.BodyPublishers.ofString(body.toString()))
            .build());
  }

  private static HttpRequest.Builder call(String address, String workspace, String call) {
    return request(address, "/v1/workspaces/" + workspace + "/calls/" + call)
        .header("Authorization", "Bearer example-token-" + workspace);
  }

  /** Makes a call with an idempotency key. */
  public Answer post(String address, String workspace, String call, String key, String body)
      throws IOException, InterruptedException {
    return send(
        call(address, workspace, call)
            .header("Idempotency-Key", key)
            .POST(HttpRequest.BodyPublishers.ofString(body))
            .build());
  }

  /** Makes a streaming call and hears the sequence number of each token as it arrives. */
  public Stream stream(
      String address, String workspace, String call, String prompt, LongConsumer onToken)
      throws IOException, InterruptedException {
    return read(
        call(address, workspace, call).POST(HttpRequest.BodyPublishers.ofString(prompt)).build(),
        onToken);
  }

  /** Continues a stream after its last token. */
  public Stream resume(String address, String workspace, String generation, long after)
      throws IOException, InterruptedException {
    return read(
        request(address, "/v1/generations/" + generation + "/resume")
            .header("Authorization", "Bearer example-token-" + workspace)
            .header("Caroblb-Workspace", workspace)
            .header("Last-Event-ID", Long.toString(after))
            .POST(HttpRequest.BodyPublishers.noBody())
            .build(),
        sequence -> {});
  }

  private Stream read(HttpRequest request, LongConsumer onToken)
      throws IOException, InterruptedException {
    HttpResponse<InputStream> response =
        client.send(request, HttpResponse.BodyHandlers.ofInputStream());
    if (response.statusCode() != 200) {
      try (InputStream body = response.body()) {
        return new Stream(
            response.statusCode(), "", 0, List.of(), Optional.empty(), MAPPER.readTree(body));
      }
    }
    StreamReader reader = new StreamReader(onToken);
    try (BufferedReader lines =
        new BufferedReader(new InputStreamReader(response.body(), StandardCharsets.UTF_8))) {
      lines.lines().forEach(reader::line);
    } catch (UncheckedIOException | IOException e) {
      reader.cut = true;
    }
    return reader.result();
  }

  /** Collects the events of a stream; tokens out of order fail at once. */
  private static final class StreamReader {
    private final LongConsumer onToken;
    private final List<String> tokens = new ArrayList<>();
    private String event = "";
    private String id = "";
    private String generation = "";
    private long first;
    private Optional<JsonNode> finalEvent = Optional.empty();
    private boolean cut;

    StreamReader(LongConsumer onToken) {
      this.onToken = onToken;
    }

    void line(String line) {
      if (line.startsWith("event: ")) {
        event = line.substring(7);
      } else if (line.startsWith("id: ")) {
        id = line.substring(4);
      } else if (line.startsWith("data: ")) {
        data(line.substring(6));
      }
    }

    private void data(String text) {
      if (finalEvent.isPresent()) {
        throw new IllegalStateException("an event followed the final event: " + text);
      }
      try {
        if (event.equals("final")) {
          finalEvent = Optional.of(MAPPER.readTree(text));
          return;
        }
        token(MAPPER.readTree(text).path("text").asText());
      } catch (IOException e) {
        throw new UncheckedIOException(e);
      }
    }

    private void token(String text) {
      int slash = id.lastIndexOf('/');
      long sequence = Long.parseLong(id.substring(slash + 1));
      if (tokens.isEmpty()) {
        generation = id.substring(0, slash);
        first = sequence;
      }
      String expected = generation + "#" + (first + tokens.size());
      if (!text.equals(expected) || sequence != first + tokens.size()) {
        throw new IllegalStateException("expected token " + expected + " but received " + text);
      }
      tokens.add(text);
      onToken.accept(sequence);
    }

    Stream result() {
      return new Stream(
          200, generation, first, tokens, finalEvent, MAPPER.createObjectNode().put("cut", cut));
    }
  }
}
