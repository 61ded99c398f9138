package dev.caroblb.http;

import dev.caroblb.core.Payload;
import java.util.List;
import java.util.Map;
import java.util.Optional;

/**
 * An HTTP request to send.
 *
 * @param method method in upper case
 * @param path path and query
 * @param fields header fields, except those that the connector sets itself: Content-Length,
 *     Content-Type, Transfer-Encoding and Host
 * @param contentType value of the Content-Type header, if it is sent
 * @param host value of the Host header; derived from the address if empty
 * @param body request body; empty if there is none
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

  /** Creates a request whose Host header is derived from the address. */
  public OutgoingRequest(
      String method, String path, Map<String, String> headers, String contentType, Payload body) {
    this(method, path, HeaderField.of(headers), Optional.of(contentType), Optional.empty(), body);
  }
}
