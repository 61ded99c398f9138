package dev.caroblb.http;

import java.io.IOException;
import java.nio.ByteBuffer;
import java.nio.channels.ReadableByteChannel;
import java.nio.channels.WritableByteChannel;
import org.apache.hc.core5.http.ConnectionClosedException;
import org.apache.hc.core5.http.nio.SessionInputBuffer;
import org.apache.hc.core5.util.CharArrayBuffer;

/**
 * Input whose lines are checked as they are read. Only CR LF ends a line: HttpCore also takes a
 * single LF, and the end of the connection, for the end of a line.
 */
final class CheckedLines implements SessionInputBuffer {
  private static final int LINE_END_BYTES = 2;

  private final SessionInputBuffer input;
  private final LineRule rule;

  CheckedLines(SessionInputBuffer input, LineRule rule) {
    this.input = input;
    this.rule = rule;
  }

  @Override
  public boolean readLine(CharArrayBuffer line, boolean endOfStream) throws IOException {
    int before = line.length() + input.length();
    if (!input.readLine(line, false)) {
      if (endOfStream && input.hasData()) {
        throw new ConnectionClosedException("the connection was closed within a line");
      }
      return false;
    }
    if (before - line.length() - input.length() != LINE_END_BYTES) {
      throw new MalformedMessageException("a line ends without CR; send CR LF");
    }
    rule.check(line);
    return true;
  }

  @Override
  public boolean hasData() {
    return input.hasData();
  }

  @Override
  public int length() {
    return input.length();
  }

  @Override
  public int fill(ReadableByteChannel channel) throws IOException {
    return input.fill(channel);
  }

  @Override
  public int read() {
    return input.read();
  }

  @Override
  public int read(ByteBuffer target, int maxBytes) {
    return input.read(target, maxBytes);
  }

  @Override
  public int read(ByteBuffer target) {
    return input.read(target);
  }

  @Override
  public int read(WritableByteChannel target, int maxBytes) throws IOException {
    return input.read(target, maxBytes);
  }

  @Override
  public int read(WritableByteChannel target) throws IOException {
    return input.read(target);
  }
}
