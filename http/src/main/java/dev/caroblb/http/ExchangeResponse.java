package dev.caroblb.http;

import java.util.List;
import org.apache.hc.core5.http.HttpHeaders;
import org.apache.hc.core5.http.message.BasicHttpResponse;

/** Response head sent by an exchange, as opposed to one that HttpCore generates. */
final class ExchangeResponse extends BasicHttpResponse {
  private static final long serialVersionUID = 1;

  private ExchangeResponse(int status) {
    super(status);
  }

  /**
   * @param close whether the connection closes after the response
   */
  static ExchangeResponse of(int status, List<HeaderField> fields, boolean close) {
    ExchangeResponse response = new ExchangeResponse(status);
    for (HeaderField field : fields) {
      response.addHeader(field.name(), field.value());
    }
    if (close) {
      response.setHeader(HttpHeaders.CONNECTION, "close");
    }
    return response;
  }
}
