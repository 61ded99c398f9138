package dev.caroblb.daemon;

import dev.caroblb.core.LogLine;
import java.io.PrintStream;
import java.io.PrintWriter;
import java.io.StringWriter;
import java.time.Instant;
import java.util.function.LongSupplier;
import java.util.logging.Formatter;
import java.util.logging.Level;
import java.util.logging.LogManager;
import java.util.logging.LogRecord;
import java.util.logging.Logger;

/** Formats each log record as one line of key=value pairs. */
public final class LogFormat extends Formatter {
  private LogFormat() {}

  /** Sends log lines to the standard error stream. */
  static void install(System.Logger.Level level) {
    install(level, System.err);
  }

  /** Replaces the handlers of the JDK logger; returns a counter of the lines that were dropped. */
  public static LongSupplier install(System.Logger.Level level, PrintStream out) {
    LogManager.getLogManager().reset();
    AsyncLogHandler handler = new AsyncLogHandler(out);
    handler.setFormatter(new LogFormat());
    handler.setLevel(Level.ALL);
    Logger root = Logger.getLogger("");
    root.setLevel(Level.INFO);
    root.addHandler(handler);
    Logger projectLogger = Logger.getLogger("dev.caroblb");
    projectLogger.setLevel(levelOf(level));
    return handler::dropped;
  }

  private static Level levelOf(System.Logger.Level level) {
    return switch (level) {
      case ALL -> Level.ALL;
      case TRACE -> Level.FINER;
      case DEBUG -> Level.FINE;
      case INFO -> Level.INFO;
      case WARNING -> Level.WARNING;
      case ERROR -> Level.SEVERE;
      case OFF -> Level.OFF;
    };
  }

  @Override
  public String format(LogRecord record) {
    StringBuilder line = new StringBuilder(256);
    line.append("time=").append(Instant.ofEpochMilli(record.getMillis()));
    line.append(" level=").append(record.getLevel().getName());
    line.append(' ').append(eventOf(record));
    if (record.getThrown() != null) {
      // Without the prefix "event=".
      line.append(
          LogLine.of("").with("stack", stackOf(record.getThrown())).toString().substring(6));
    }
    return line.append('\n').toString();
  }

  /** Wraps the free text that libraries log in one value, so that every line has key=value form. */
  private static String eventOf(LogRecord record) {
    String message = String.valueOf(record.getMessage());
    return message.startsWith("event=")
        ? message
        : LogLine.of("log").with("text", message).toString();
  }

  private static String stackOf(Throwable thrown) {
    StringWriter text = new StringWriter();
    thrown.printStackTrace(new PrintWriter(text));
    return text.toString();
  }
}
