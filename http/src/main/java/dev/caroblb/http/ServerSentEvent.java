package dev.caroblb.http;

import dev.caroblb.core.Payload;
import java.util.Optional;

/** One event of an event stream; {@code name} defaults to {@code message}. */
public record ServerSentEvent(String name, Optional<String> id, String data) {
  /** Encodes the event for an event stream. */
  public Payload encode() {
    StringBuilder text = new StringBuilder(data.length() + 64);
    text.append("event: ").append(name).append('\n');
    id.ifPresent(value -> text.append("id: ").append(value).append('\n'));
    for (String line : data.split("\n", -1)) {
      text.append("data: ").append(line).append('\n');
    }
    return Payload.ofText(text.append('\n').toString());
  }
}
