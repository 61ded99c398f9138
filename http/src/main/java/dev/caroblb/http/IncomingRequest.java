package dev.caroblb.http;

import dev.caroblb.core.Payload;
import java.net.URLDecoder;
import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.Optional;

/**
 * A complete HTTP request.
 *
 * @param method method in upper case
 * @param requestTarget path and query, as received
 * @param fields header fields in the order received
 * @param headers header values by lower-case name; for repeated names the last value is used
 * @param body request body; empty if there is none
 */
public record IncomingRequest(
    String method,
    String requestTarget,
    List<HeaderField> fields,
    Map<String, String> headers,
    Payload body) {
  public IncomingRequest {
    fields = List.copyOf(fields);
    headers = Map.copyOf(headers);
  }

  /** Creates a request from its header fields. */
  public IncomingRequest(String method, String target, List<HeaderField> fields, Payload body) {
    this(method, target, fields, HeaderField.byName(fields), body);
  }

  /** Returns the value of a header, ignoring the case of its name. */
  public Optional<String> header(String name) {
    return Optional.ofNullable(headers.get(name.toLowerCase(Locale.ROOT)));
  }

  /** Returns the path without the query. */
  public String path() {
    int query = requestTarget.indexOf('?');
    return query < 0 ? requestTarget : requestTarget.substring(0, query);
  }

  /** Returns the decoded value of a query parameter. */
  public Optional<String> parameter(String name) {
    int query = requestTarget.indexOf('?');
    if (query < 0) {
      return Optional.empty();
    }
    for (String pair : requestTarget.substring(query + 1).split("&", -1)) {
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
