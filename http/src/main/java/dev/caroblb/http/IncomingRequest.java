package dev.caroblb.http;

import dev.caroblb.core.Payload;
import java.net.URLDecoder;
import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.Optional;

/**
 * A whole request.
 *
 * @param method method in upper case
 * @param target path with the query, as it was received
 * @param fields header lines in the order in which they were received
 * @param headers headers by name in lower case; the last one of a name counts
 * @param body body, empty when there is none
 */
public record IncomingRequest(
    String method,
    String target,
    List<HeaderField> fields,
    Map<String, String> headers,
    Payload body) {
  public IncomingRequest {
    fields = List.copyOf(fields);
    headers = Map.copyOf(headers);
  }

  /** Creates a request from its header lines. */
  public IncomingRequest(String method, String target, List<HeaderField> fields, Payload body) {
    this(method, target, fields, HeaderField.byName(fields), body);
  }

  /** Value of a header, by name in any case. */
  public Optional<String> header(String name) {
    return Optional.ofNullable(headers.get(name.toLowerCase(Locale.ROOT)));
  }

  /** The path without the query. */
  public String path() {
    int query = target.indexOf('?');
    return query < 0 ? target : target.substring(0, query);
  }

  /** Value of a parameter of the query, decoded. */
  public Optional<String> parameter(String name) {
    int query = target.indexOf('?');
    if (query < 0) {
      return Optional.empty();
    }
    for (String pair : target.substring(query + 1).split("&", -1)) {
      int equals = pair.indexOf('=');
      if (equals > 0 && pair.substring(0, equals).equals(name)) {
        return decoded(pair.substring(equals + 1));
      }
    }
    return Optional.empty();
  }

  private static Optional<String> decoded(String value) {
    try {
      return Optional.of(URLDecoder.decode(value, StandardCharsets.UTF_8));
    } catch (IllegalArgumentException e) {
      return Optional.empty();
    }
  }
}
