package dev.caroblb.engines;

import dev.caroblb.core.Payload;
import dev.caroblb.http.ResponseSink;
import java.io.ByteArrayOutputStream;
import java.nio.ByteBuffer;
import java.util.Map;

/** Buffers a short answer and passes it to a listener when it is complete. */
final class BufferedResponse implements ResponseSink {
  /** Exceeds any state report of an engine; the rest of a longer answer is discarded. */
  private static final int MAX_BYTES = 1 << 16;

  private final Listener listener;
  private final ByteArrayOutputStream body = new ByteArrayOutputStream();
  private int status;

  BufferedResponse(Listener listener) {
    this.listener = listener;
  }

  /** Receives the result of the request. */
  interface Listener {
    void answered(int status, Payload body);

    void failed(boolean written);
  }

  @Override
  public void head(int status, Map<String, String> headers) {
    this.status = status;
  }

  @Override
  public void data(ByteBuffer part) {
    byte[] bytes = new byte[part.remaining()];
    part.get(bytes);
    body.write(bytes, 0, Math.min(bytes.length, MAX_BYTES - body.size()));
  }

  @Override
  public void end() {
    listener.answered(status, Payload.copyOf(body.toByteArray()));
  }

  @Override
  public void failed(boolean written, String cause) {
    listener.failed(written);
  }
}
