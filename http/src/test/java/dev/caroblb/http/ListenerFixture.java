package dev.caroblb.http;

import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.util.concurrent.LinkedBlockingQueue;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;

/** Test base class with a listener that has small limits and records rejected requests. */
abstract class ListenerFixture {
  static final int WAIT_MS = 10_000;
  private static final HttpLimits LIMITS = new HttpLimits(1_024, 10, 2_048, 30_000, 8_192, 1, 64);

  final LinkedBlockingQueue<Integer> rejected = new LinkedBlockingQueue<>();
  HttpListener listener;

  @BeforeEach
  void listen() throws IOException {
    InetSocketAddress address = new InetSocketAddress(InetAddress.getLoopbackAddress(), 0);
    listener = HttpListener.start(address, LIMITS, this::respond, rejected::add);
  }

  @AfterEach
  void stop() {
    listener.close();
  }

  abstract void respond(IncomingRequest request, Reply reply);
}
