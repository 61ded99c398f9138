package dev.caroblb.http;

import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import dev.caroblb.core.FatalErrors;
import java.io.IOException;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;

/** A thread of a listener that ends by an error. */
class LostReactorTest extends ListenerFixture {
  private final Thread.UncaughtExceptionHandler before =
      Thread.getDefaultUncaughtExceptionHandler();
  private final LinkedBlockingQueue<String> lines = new LinkedBlockingQueue<>();
  private final CountDownLatch halted = new CountDownLatch(1);

  @AfterEach
  void restore() {
    Thread.setDefaultUncaughtExceptionHandler(before);
  }

  @Override
  void respond(IncomingRequest request, Reply reply) {
    throw new OutOfMemoryError("Java heap space");
  }

  @Nested
  class OutOfMemory {
    /** Guards against a process that refuses all callers and says that it is ready. */
    @Test
    void endsTheProcess() throws IOException, InterruptedException {
      new FatalErrors(lines::add, halted::countDown).install();
      assertTrue(listener.running());
      try (Socket socket =
          new Socket(listener.address().getAddress(), listener.address().getPort())) {
        socket
            .getOutputStream()
            .write("GET / HTTP/1.1\r\nHost: a\r\n\r\n".getBytes(StandardCharsets.US_ASCII));
        assertTrue(halted.await(WAIT_MS, TimeUnit.MILLISECONDS));
      }
      assertTrue(lines.remove().contains("OutOfMemoryError"));
      listener.close();
      assertFalse(listener.running());
    }
  }
}
