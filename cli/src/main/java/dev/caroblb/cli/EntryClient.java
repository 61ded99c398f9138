package dev.caroblb.cli;

import io.vavr.control.Either;
import java.io.IOException;
import java.net.http.HttpClient;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.time.Duration;
import java.util.Optional;

/**
 * Sends single HTTP requests to entries, without retries; the user of this class decides on them.
 */
final class EntryClient {
  private static final Duration CONNECT_TIMEOUT = Duration.ofSeconds(2);

  private final HttpClient http = newHttpClient();
  private final Optional<String> token;
  private final Duration responseTimeout;

  EntryClient(Optional<String> token, long responseTimeoutMs) {
    this.token = token;
    this.responseTimeout = Duration.ofMillis(responseTimeoutMs);
  }

  static HttpClient newHttpClient() {
    return HttpClient.newBuilder()
        .version(HttpClient.Version.HTTP_1_1)
        .connectTimeout(CONNECT_TIMEOUT)
        .build();
  }

  /** Returns the response, or the reason why there is none. */
  Either<String, EntryResponse> get(EntryAddress entry, String path) throws InterruptedException {
    return send(HttpRequest.newBuilder(entry.uri(path)).GET(), entry);
  }

  /** Returns the response, or why there is none; the request may have been processed even then. */
  Either<String, EntryResponse> post(EntryAddress entry, String path, String json)
      throws InterruptedException {
    HttpRequest.Builder request =
        HttpRequest.newBuilder(entry.uri(path))
            .header("Content-Type", "application/json")
            .POST(HttpRequest.BodyPublishers.ofString(json));
    return send(request, entry);
  }

  /** Sends a request without a body; returns the response, or why there is none. */
  Either<String, EntryResponse> send(String method, EntryAddress entry, String path)
      throws InterruptedException {
    return send(
        HttpRequest.newBuilder(entry.uri(path)).method(method, HttpRequest.BodyPublishers.noBody()),
        entry);
  }

  private Either<String, EntryResponse> send(HttpRequest.Builder request, EntryAddress entry)
      throws InterruptedException {
    token.ifPresent(text -> request.header("Authorization", "Bearer " + text));
    try {
      HttpResponse<String> response =
          http.send(request.timeout(responseTimeout).build(), HttpResponse.BodyHandlers.ofString());
      return Either.right(new EntryResponse(response.statusCode(), response.body()));
    } catch (IOException e) {
      return Either.left("no answer from " + entry + " (" + e + ")");
    }
  }
}
