package dev.caroblb.http;

import java.io.IOException;
import java.util.regex.Pattern;
import org.apache.hc.core5.http.ConnectionClosedException;
import org.apache.hc.core5.http.HttpException;
import org.apache.hc.core5.http.HttpResponse;
import org.apache.hc.core5.http.ParseException;
import org.apache.hc.core5.http.config.Http1Config;
import org.apache.hc.core5.http.impl.nio.DefaultHttpResponseFactory;
import org.apache.hc.core5.http.impl.nio.DefaultHttpResponseParser;
import org.apache.hc.core5.http.nio.SessionInputBuffer;
import org.apache.hc.core5.util.CharArrayBuffer;

/**
 * Rejects response heads, interim ones included, that do not match the grammar of RFC 9112.
 * HttpCore accepts what it can make sense of: a damaged head then looks like a complete one with
 * other fields, and its body ends elsewhere than its sender meant. A head whose connection ends
 * within it looks like one without a body.
 *
 * <p>A status outside 100 to 599 is rejected because HttpCore cannot write it: a response that is
 * relayed with it would never reach its caller.
 */
final class StrictResponseParser extends DefaultHttpResponseParser<HttpResponse> {
  private static final Pattern STATUS_LINE =
      Pattern.compile("HTTP/1\\.[0-9] [1-5][0-9]{2}( [\\t\\x20-\\x7e\\x80-\\xff]*)?");

  /** Maximum size of a response head, in bytes. */
  private static final int MAX_HEAD_BYTES = 65_536;

  private final HeadLines lines = new HeadLines(() -> MAX_HEAD_BYTES);

  StrictResponseParser(Http1Config config) {
    super(config, DefaultHttpResponseFactory.INSTANCE);
  }

  @Override
  public HttpResponse parse(SessionInputBuffer input, boolean endOfStream) throws IOException {
    try {
      HttpResponse response = super.parse(new CheckedLines(input, lines), false);
      if (response == null) {
        if (endOfStream && input.hasData()) {
          throw new ConnectionClosedException("the connection was closed within a response head");
        }
        return null;
      }
      MessageFraming.check(response);
      return response;
    } catch (HttpException e) {
      throw new MalformedMessageException(e);
    }
  }

  @Override
  protected HttpResponse createMessage(CharArrayBuffer line) throws HttpException {
    if (!STATUS_LINE.matcher(line).matches()) {
      throw new ParseException(
          "the status line is malformed; send HTTP/1.1, a status from 100 to 599 and a reason");
    }
    return super.createMessage(line);
  }
}
