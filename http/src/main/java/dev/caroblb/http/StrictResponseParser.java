package dev.caroblb.http;

import java.io.IOException;
import org.apache.hc.core5.http.HttpException;
import org.apache.hc.core5.http.HttpResponse;
import org.apache.hc.core5.http.ParseException;
import org.apache.hc.core5.http.config.Http1Config;
import org.apache.hc.core5.http.impl.nio.DefaultHttpResponseFactory;
import org.apache.hc.core5.http.impl.nio.DefaultHttpResponseParser;
import org.apache.hc.core5.http.nio.SessionInputBuffer;
import org.apache.hc.core5.util.CharArrayBuffer;

/**
 * Rejects a response whose connection ends within its head. HttpCore takes the end of input for the
 * end of the head, so that the response looks like a complete one without a body.
 *
 * <p>Also rejects each response, interim ones included, whose status is not three digits from 100
 * to 599. HttpCore reads other statuses, but cannot write them: a response that is relayed with one
 * would never reach its caller.
 */
final class StrictResponseParser extends DefaultHttpResponseParser<HttpResponse> {
  private static final int STATUS_DIGITS = 3;
  private static final char MIN_FIRST_DIGIT = '1';
  private static final char MAX_FIRST_DIGIT = '5';

  StrictResponseParser(Http1Config config) {
    super(config, DefaultHttpResponseFactory.INSTANCE);
  }

  @Override
  public HttpResponse parse(SessionInputBuffer input, boolean endOfStream)
      throws IOException, HttpException {
    HttpResponse response = super.parse(input, false);
    if (response == null && endOfStream && input.hasData()) {
      throw new ParseException("the connection was closed within a response head");
    }
    return response;
  }

  @Override
  protected HttpResponse createMessage(CharArrayBuffer line) throws HttpException {
    String text = line.toString();
    int separator = text.indexOf(' ');
    String rest = separator < 0 ? "" : text.substring(separator).strip();
    int end = rest.indexOf(' ');
    String status = end < 0 ? rest : rest.substring(0, end);
    if (!validStatus(status)) {
      throw new ParseException("the status " + status + " is not three digits from 100 to 599");
    }
    return super.createMessage(line);
  }

  private static boolean validStatus(String status) {
    return status.length() == STATUS_DIGITS
        && status.chars().allMatch(c -> c >= '0' && c <= '9')
        && status.charAt(0) >= MIN_FIRST_DIGIT
        && status.charAt(0) <= MAX_FIRST_DIGIT;
  }
}
