package dev.caroblb.http;

import dev.caroblb.core.MillisClock;
import java.io.IOException;
import java.util.Optional;
import java.util.function.Supplier;
import org.apache.hc.core5.http.Header;
import org.apache.hc.core5.http.HttpException;
import org.apache.hc.core5.http.HttpRequest;
import org.apache.hc.core5.http.ProtocolException;
import org.apache.hc.core5.http.RequestHeaderFieldsTooLargeException;
import org.apache.hc.core5.http.config.Http1Config;
import org.apache.hc.core5.http.impl.nio.DefaultHttpRequestFactory;
import org.apache.hc.core5.http.impl.nio.DefaultHttpRequestParser;
import org.apache.hc.core5.http.nio.SessionInputBuffer;

/**
 * Rejects request heads with ambiguous message framing or with lines that are no fields. If two
 * parsers disagree on the end of a request, a caller can smuggle a request in the body of another.
 */
final class StrictRequestParser extends DefaultHttpRequestParser<HttpRequest> {
  /** Colon, space and line end of a header. */
  private static final int HEADER_FRAMING_BYTES = 4;

  private final Supplier<RequestLimits> limits;
  private final MillisClock clock;
  private final HeadLines lines;

  /** Time at which the first byte of the current request head was seen. */
  private Optional<Long> headStartedMs = Optional.empty();

  StrictRequestParser(Http1Config config, Supplier<RequestLimits> limits, MillisClock clock) {
    super(config, DefaultHttpRequestFactory.INSTANCE);
    this.limits = limits;
    this.clock = clock;
    lines = new HeadLines(() -> limits.get().maxHeadBytes());
  }

  @Override
  public HttpRequest parse(SessionInputBuffer input, boolean endOfStream)
      throws IOException, HttpException {
    if (headStartedMs.isEmpty() && input.hasData()) {
      headStartedMs = Optional.of(clock.nowMs());
    }
    HttpRequest request = parseLines(input, endOfStream);
    if (request == null) {
      checkTime();
      return null;
    }
    headStartedMs = Optional.empty();
    checkSize(request);
    MessageFraming.check(request);
    return request;
  }

  private HttpRequest parseLines(SessionInputBuffer input, boolean endOfStream)
      throws IOException, HttpException {
    try {
      return super.parse(new CheckedLines(input, lines), endOfStream);
    } catch (HeadTooLargeException e) {
      throw new RequestHeaderFieldsTooLargeException(e.getMessage(), e);
    } catch (MalformedMessageException e) {
      // HttpCore responds to a ProtocolException; after others it closes the connection only.
      throw new ProtocolException(e.getMessage(), e);
    }
  }

  /** Rejects a head of which bytes still arrive after its timeout. */
  private void checkTime() throws ProtocolException {
    long timeoutMs = limits.get().headTimeoutMs();
    if (headStartedMs.filter(started -> clock.nowMs() - started > timeoutMs).isPresent()) {
      throw new ProtocolException("the head took longer than " + timeoutMs + " ms; send it faster");
    }
  }

  private void checkSize(HttpRequest request) throws RequestHeaderFieldsTooLargeException {
    long size = request.getMethod().length();
    size += request.getRequestUri().length();
    for (Header header : request.getHeaders()) {
      size += header.getName().length();
      size += header.getValue().length();
      size += HEADER_FRAMING_BYTES;
    }
    if (size > limits.get().maxHeadBytes()) {
      throw new RequestHeaderFieldsTooLargeException(
          "the head is longer than " + limits.get().maxHeadBytes() + " bytes; send fewer headers",
          null);
    }
  }
}
