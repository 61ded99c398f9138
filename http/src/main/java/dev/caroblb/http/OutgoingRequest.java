package dev.caroblb.http;

import dev.caroblb.core.Payload;
import java.util.Map;

/** A request to send. */
public record OutgoingRequest(
    String method, String path, Map<String, String> headers, String contentType, Payload body) {
  public OutgoingRequest {
    headers = Map.copyOf(headers);
  }
}
