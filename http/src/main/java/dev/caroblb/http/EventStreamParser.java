package dev.caroblb.http;

import java.io.ByteArrayOutputStream;
import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.util.Optional;
import java.util.function.Consumer;

/** Incremental parser of an event stream; accepts the bytes in parts of any size. */
public final class EventStreamParser {
  /** A larger event ends the stream, so that a faulty peer cannot exhaust memory. */
  private static final int MAX_EVENT_BYTES = 1 << 20;

  private final Consumer<ServerSentEvent> events;
  private final Runnable comments;
  private final ByteArrayOutputStream line = new ByteArrayOutputStream(256);
  private final StringBuilder data = new StringBuilder();
  private String name = "message";
  private Optional<String> id = Optional.empty();
  private boolean hasData;
  private boolean tooLarge;

  /**
   * @param events receives each event
   * @param comments called for each comment line, which peers send as keep-alive
   */
  public EventStreamParser(Consumer<ServerSentEvent> events, Runnable comments) {
    this.events = events;
    this.comments = comments;
  }

  /** Parses all bytes of the part; returns false if an event exceeds the size limit. */
  public boolean parse(ByteBuffer part) {
    while (part.hasRemaining() && !tooLarge) {
      byte next = part.get();
      if (next == '\n') {
        endLine();
      } else if (next != '\r') {
        line.write(next);
      }
      tooLarge = line.size() + data.length() > MAX_EVENT_BYTES;
    }
    return !tooLarge;
  }

  private void endLine() {
    String text = line.toString(StandardCharsets.UTF_8);
    line.reset();
    if (text.isEmpty()) {
      endEvent();
      return;
    }
    if (text.startsWith(":")) {
      comments.run();
      return;
    }
    int colon = text.indexOf(':');
    if (colon < 0) {
      return;
    }
    String value = text.substring(colon + 1);
    readField(text.substring(0, colon), value.startsWith(" ") ? value.substring(1) : value);
  }

  private void readField(String field, String value) {
    switch (field) {
      case "event" -> name = value;
      case "id" -> id = Optional.of(value);
      case "data" -> {
        if (hasData) {
          data.append('\n');
        }
        data.append(value);
        hasData = true;
      }
      default -> {}
    }
  }

  private void endEvent() {
    if (hasData) {
      events.accept(new ServerSentEvent(name, id, data.toString()));
    }
    data.setLength(0);
    hasData = false;
    name = "message";
    id = Optional.empty();
  }
}
