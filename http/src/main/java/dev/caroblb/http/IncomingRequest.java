package dev.caroblb.http;

import dev.caroblb.core.Payload;
import java.util.Locale;
import java.util.Map;
import java.util.Optional;

/**
 * A whole request.
 *
 * @param method method in upper case
 * @param path path without the query
 * @param headers headers by name in lower case; the last one of a name counts
 * @param body body, empty when there is none
 */
public record IncomingRequest(
    String method, String path, Map<String, String> headers, Payload body) {
  public IncomingRequest {
    headers = Map.copyOf(headers);
  }

  /** Value of a header, by name in any case. */
  public Optional<String> header(String name) {
    return Optional.ofNullable(headers.get(name.toLowerCase(Locale.ROOT)));
  }
}
