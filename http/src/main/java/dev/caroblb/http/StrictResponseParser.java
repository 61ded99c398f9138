package dev.caroblb.http;

import java.io.IOException;
import org.apache.hc.core5.http.HttpException;
import org.apache.hc.core5.http.HttpResponse;
import org.apache.hc.core5.http.ParseException;
import org.apache.hc.core5.http.config.Http1Config;
import org.apache.hc.core5.http.impl.nio.DefaultHttpResponseFactory;
import org.apache.hc.core5.http.impl.nio.DefaultHttpResponseParser;
import org.apache.hc.core5.http.nio.SessionInputBuffer;

/**
 * Rejects a response whose connection ends within its head. HttpCore takes the end of input for the
 * end of the head, so that the response looks like a complete one without a body.
 */
final class StrictResponseParser extends DefaultHttpResponseParser<HttpResponse> {
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
}
