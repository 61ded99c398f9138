package dev.caroblb.http;

import dev.caroblb.core.Payload;
import java.util.Optional;

/** One event of an event stream; {@code name} is {@code message} when the stream gives none. */
public record ServerSentEvent(String name, Optional<String> id, String data) {
  /** The event in the form in which it is sent. */
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
