package dev.caroblb.core;

import java.util.regex.Pattern;

/** Builds a log line for one event as key=value pairs; values are escaped. */
public final class LogLine {
  private static final Pattern PLAIN = Pattern.compile("[A-Za-z0-9_.:/@+-]+");

  private final StringBuilder line;

  private LogLine(String event) {
    this.line = new StringBuilder("event=").append(event);
  }

  /** Starts a line for an event named in lower case with dots, for example {@code stream.end}. */
  public static LogLine of(String event) {
    return new LogLine(event);
  }

  /**
   * Appends a pair. The value is quoted if it is empty or has characters other than ASCII letters,
   * digits and {@code _.:/@+-}.
   */
  public LogLine with(String key, Object value) {
    line.append(' ').append(key).append('=');
    String text = String.valueOf(value);
    if (PLAIN.matcher(text).matches()) {
      line.append(text);
      return this;
    }
    appendQuoted(text);
    return this;
  }

  private void appendQuoted(String text) {
    line.append('"');
    for (int i = 0; i < text.length(); i++) {
      char c = text.charAt(i);
      switch (c) {
        case '"' -> line.append("\\\"");
        case '\\' -> line.append("\\\\");
        case '\n' -> line.append("\\n");
        case '\r' -> line.append("\\r");
        case '\t' -> line.append("\\t");
        default -> appendPrintable(c);
      }
    }
    line.append('"');
  }

  private void appendPrintable(char c) {
    if (Character.isISOControl(c)) {
      line.append(String.format("\\u%04x", (int) c));
      return;
    }
    line.append(c);
  }

  @Override
  public String toString() {
    return line.toString();
  }
}
