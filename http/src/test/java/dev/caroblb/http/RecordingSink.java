package dev.caroblb.http;

import java.nio.ByteBuffer;
import java.util.Map;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;

/** Records a response without acknowledging its body. */
final class RecordingSink implements ResponseSink {
  final LinkedBlockingQueue<String> outcomes = new LinkedBlockingQueue<>();
  final LinkedBlockingQueue<Integer> statuses = new LinkedBlockingQueue<>();
  final AtomicInteger bodyBytes = new AtomicInteger();
  final AtomicInteger parts = new AtomicInteger();

  /** Returns "complete" or "failed", or null after the timeout. */
  String awaitOutcome(long timeoutMs) throws InterruptedException {
    return outcomes.poll(timeoutMs, TimeUnit.MILLISECONDS);
  }

  @Override
  public void head(int status, Map<String, String> headers) {
    statuses.add(status);
  }

  @Override
  public void data(ByteBuffer part) {
    parts.incrementAndGet();
    bodyBytes.addAndGet(part.remaining());
    part.position(part.limit());
  }

  @Override
  public void end() {
    outcomes.add("complete");
  }

  @Override
  public void failed(boolean written, String cause) {
    outcomes.add(written ? "failed" : "not sent");
  }
}
