package dev.caroblb.http;

import dev.caroblb.core.Payload;
import java.util.List;
import java.util.Map;
import java.util.Optional;

/**
 * A request to send.
 *
 * @param method method in upper case
 * @param path path with the query
 * @param fields header lines, without those that the connector sets itself: content length and
 *     type, transfer encoding and host
 * @param contentType type of the body, if one is to be stated
 * @param host value of the host header; that of the address when empty
 * @param body body, empty when there is none
 */
public record OutgoingRequest(
    String method,
    String path,
    List<HeaderField> fields,
    Optional<String> contentType,
    Optional<String> host,
    Payload body) {
  public OutgoingRequest {
    fields = List.copyOf(fields);
  }

  /** A request to the host of the address it is sent to. */
  public OutgoingRequest(
      String method, String path, Map<String, String> headers, String contentType, Payload body) {
    this(method, path, HeaderField.of(headers), Optional.of(contentType), Optional.empty(), body);
  }
}
