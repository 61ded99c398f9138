package dev.caroblb.http;

import java.io.IOException;

/** A peer sent bytes that do not match the grammar of HTTP/1.1. */
class MalformedMessageException extends IOException {
  private static final long serialVersionUID = 1L;

  MalformedMessageException(String message) {
    super(message);
  }

  MalformedMessageException(Exception cause) {
    super(cause.getMessage(), cause);
  }
}
