package dev.caroblb.engines;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNotNull;
import static org.junit.jupiter.api.Assertions.assertNull;

import dev.caroblb.core.FailureDomain;
import dev.caroblb.core.GenerationId;
import dev.caroblb.core.InstanceId;
import dev.caroblb.core.Payload;
import dev.caroblb.core.TargetId;
import dev.caroblb.core.WorkspaceId;
import dev.caroblb.http.HttpConnector;
import dev.caroblb.streams.Endpoint;
import dev.caroblb.streams.EngineCommand;
import dev.caroblb.streams.EngineEvent;
import dev.caroblb.streams.StreamsMessage;
import java.io.IOException;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;

/** Links to a target whose answers each test writes to the socket itself. */
class EngineLinksTest {
  private static final int WAIT_MS = 10_000;
  private static final String STREAM =
      "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\nConnection: close\r\n\r\n";

  private final LinkedBlockingQueue<StreamsMessage.EngineEvents> received =
      new LinkedBlockingQueue<>();
  private ServerSocket target;
  private HttpConnector connector;
  private EngineLinks links;

  @BeforeEach
  void open() throws IOException {
    target = new ServerSocket(0, 10, InetAddress.getLoopbackAddress());
    target.setSoTimeout(WAIT_MS);
    connector = new HttpConnector(1, WAIT_MS, WAIT_MS);
    links =
        new EngineLinks(
            connector,
            new InstanceId("entry"),
            message -> received.add((StreamsMessage.EngineEvents) message));
  }

  @AfterEach
  void close() throws IOException {
    connector.close();
    target.close();
  }

  private Endpoint endpoint() {
    String address = "127.0.0.1:" + target.getLocalPort();
    return new Endpoint(new TargetId("engine"), 1, new FailureDomain("a"), address);
  }

  private void resume(long link) {
    GenerationId generation = new GenerationId(new TargetId("engine"), 1, "g");
    links.offer(
        new EngineCommand.Resume(link, endpoint(), generation, new WorkspaceId("receipts"), 0));
  }

  /** Accepts one connection and reads the head of its request. */
  private Socket accept() throws IOException {
    Socket socket = target.accept();
    socket.setSoTimeout(WAIT_MS);
    StringBuilder head = new StringBuilder();
    while (!head.toString().endsWith("\r\n\r\n")) {
      head.append((char) socket.getInputStream().read());
    }
    return socket;
  }

  private static void write(Socket socket, String text) throws IOException {
    socket.getOutputStream().write(text.getBytes(StandardCharsets.US_ASCII));
  }

  /** The write to a closed connection fails or not, depending on when its reset arrives. */
  private static void writeIfOpen(Socket socket, String text) {
    try {
      write(socket, text);
    } catch (IOException e) {
      assertNotNull(e.getMessage());
    }
  }

  /** The next event of the link other than {@code Opened}. */
  private EngineEvent next(long link) throws InterruptedException {
    while (true) {
      StreamsMessage.EngineEvents batch = received.poll(WAIT_MS, TimeUnit.MILLISECONDS);
      assertNotNull(batch, "no event within " + WAIT_MS + " ms");
      assertEquals(link, batch.link());
      links.offer(new EngineCommand.Consumed(link));
      for (EngineEvent event : batch.events()) {
        if (!(event instanceof EngineEvent.Opened)) {
          return event;
        }
      }
    }
  }

  @Nested
  class Refusing {
    /** Guards against reporting "may have run" for a target that was never reached. */
    @Test
    void refusedConnectionCountsAsNotWritten() throws Exception {
      Endpoint closed = endpoint();
      target.close();
      links.offer(new EngineCommand.CallService(1, closed, "posting", "k", Payload.ofText("b")));
      EngineEvent.Failed failed = (EngineEvent.Failed) next(1);
      assertEquals(false, failed.written());
    }

    /** Guards against treating a refusal as a lost link. */
    @Test
    void statusIsPassedOn() throws Exception {
      resume(1);
      try (Socket socket = accept()) {
        write(socket, "HTTP/1.1 404 Not Found\r\nContent-Length: 7\r\n\r\nunknown");
        assertEquals(404, ((EngineEvent.Rejected) next(1)).status());
      }
    }
  }

  @Nested
  class Closing {
    /** Guards against reporting "not run" for a request that was sent. */
    @Test
    void beforeTheHeadCountsAsWritten() throws Exception {
      resume(1);
      accept().close();
      assertEquals(true, ((EngineEvent.Failed) next(1)).written());
    }

    /** Guards against treating a truncated answer as complete. */
    @Test
    void inTheMiddleCountsAsFailed() throws Exception {
      resume(1);
      try (Socket socket = accept()) {
        write(socket, STREAM + "event: token\nid: 1\ndata: x\n\n");
        assertEquals(new EngineEvent.Token(1, Payload.ofText("x")), next(1));
      }
      assertEquals(true, ((EngineEvent.Failed) next(1)).written());
    }
  }

  @Nested
  class Misbehaving {
    /** Guards against a token whose position in the answer is unknown. */
    @Test
    void tokenWithoutIdEndsTheLink() throws Exception {
      resume(1);
      try (Socket socket = accept()) {
        write(socket, STREAM + "event: token\ndata: x\n\n");
        assertEquals(true, ((EngineEvent.Failed) next(1)).written());
      }
    }

    /** Guards against attributing an answer on a closed link to another request. */
    @Test
    void lateAnswerIsNotReported() throws Exception {
      resume(1);
      try (Socket late = accept()) {
        links.offer(new EngineCommand.Close(1));
        assertEquals(0, links.openLinks());
        resume(2);
        try (Socket socket = accept()) {
          writeIfOpen(late, STREAM + "event: token\nid: 9\ndata: late\n\n");
          write(socket, STREAM + "event: token\nid: 1\ndata: x\n\n");
          assertEquals(new EngineEvent.Token(1, Payload.ofText("x")), next(2));
        }
      }
      assertNull(received.stream().filter(b -> b.link() == 1).findAny().orElse(null));
    }
  }
}
