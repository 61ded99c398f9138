package dev.caroblb.http;

import org.apache.hc.core5.http.message.BasicHttpResponse;

/** Head of an answer that an exchange sends, as opposed to one of the HTTP library itself. */
final class ExchangeResponse extends BasicHttpResponse {
  private static final long serialVersionUID = 1;

  ExchangeResponse(int status) {
    super(status);
  }
}
