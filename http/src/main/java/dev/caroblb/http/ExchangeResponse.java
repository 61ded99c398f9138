package dev.caroblb.http;

import org.apache.hc.core5.http.message.BasicHttpResponse;

/** Response head sent by an exchange, as opposed to one that HttpCore generates. */
final class ExchangeResponse extends BasicHttpResponse {
  private static final long serialVersionUID = 1;

  ExchangeResponse(int status) {
    super(status);
  }
}
