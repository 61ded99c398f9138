package review;

import java.io.BufferedInputStream;
import java.io.IOException;
import java.io.OutputStream;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.Map;
import java.util.concurrent.CopyOnWriteArrayList;

/**
 * A sound replica: announces itself at the control machines and runs the requests that it gets.
 * Requests with {@code /stream/} in their path are answered with an event every 100 ms until {@link
 * #finishStreams()} is called, those with {@code /events/} with {@link #EVENTS} events, others at
 * once. A replica drops a request when its connection closes, except one whose answer it loses.
 */
final class Replica implements AutoCloseable {
  /** A request that began to run here. */
  record Run(String requestId, String method, String path, int bodyBytes) {}

  static final int EVENTS = 30;

  /** Event after which the connection is reset, if the answer is lost. */
  private static final int LOST_AFTER_EVENT = 10;

  private static final int EVENT_MS = 100;

  /** When a run of a request generated its first and its last event. */
  record Work(String requestId, String replica, boolean continued, long fromMs, long untilMs) {}

  final String id;
  final String service;
  final List<Run> runs = new CopyOnWriteArrayList<>();
  final List<Work> work = new CopyOnWriteArrayList<>();
  private final Deployment deployment;
  private final Record record;
  private final String ip;
  private final String models;
  private final ServerSocket listener = new ServerSocket();
  private final long bornMs = System.currentTimeMillis();
  private volatile boolean stopped;
  private volatile boolean streamsFinished;
  private volatile int lostRun = -1;
  private long sequence;

  Replica(
      Deployment deployment, Record record, String ip, String id, String service, boolean engine)
      throws IOException {
    this.deployment = deployment;
    this.record = record;
    this.ip = ip;
    this.id = id;
    this.service = service;
    models =
        engine
            ? ",\"phase\":\"both\",\"models\":[{\"name\":\"m\",\"version\":1,\"adapters\":[]}]"
            : "";
    listener.bind(new InetSocketAddress(ip, deployment.basePort + Deployment.REPLICA), 256);
    daemon(this::accept);
    daemon(this::announce);
  }

  private static void daemon(Runnable action) {
    Thread thread = new Thread(action);
    thread.setDaemon(true);
    thread.start();
  }

  void finishStreams() {
    streamsFinished = true;
  }

  /** Loses the answer of the run with the given number, which goes on nevertheless. */
  void loseAnswerOf(int run) {
    lostRun = run;
  }

  private void announce() {
    while (!stopped) {
      sequence++;
      String body =
          ("{\"service\":\"%s\",\"address\":\"%s:%d\",\"zone\":\"zone-a\",\"version\":\"v1\","
                  + "\"slots\":24,\"state\":\"ready\",\"cold-left-ms\":0,\"born\":%d,\"seq\":%d%s}")
              .formatted(
                  service,
                  ip,
                  deployment.basePort + Deployment.REPLICA,
                  bornMs,
                  sequence,
                  models);
      int status = 0;
      for (int i = 0; i < 3 && status != 200; i++) {
        String control = deployment.control(i);
        status =
            Http.call(
                    control,
                    deployment.basePort + Deployment.CONTROL,
                    "PUT",
                    "/v1/instances/" + id,
                    Map.of("Host", control, "Content-Type", "application/json"),
                    body.getBytes(StandardCharsets.UTF_8),
                    1_000)
                .status();
      }
      pause(status == 200 ? 1_200 : 300);
    }
  }

  private static void pause(long ms) {
    try {
      Thread.sleep(ms);
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
    }
  }

  private void accept() {
    while (!stopped) {
      try {
        Socket socket = listener.accept();
        daemon(() -> serve(socket));
      } catch (IOException e) {
        return;
      }
    }
  }

  private void serve(Socket connection) {
    try (Socket socket = connection) {
      socket.setTcpNoDelay(true);
      OutputStream out = socket.getOutputStream();
      BufferedInputStream in = new BufferedInputStream(socket.getInputStream());
      while (true) {
        answer(Http.readRequest(in, out), socket, out);
      }
    } catch (IOException e) {
      // The caller closed the connection, which ends the request.
    }
  }

  private void answer(Http.Request request, Socket socket, OutputStream out)
      throws IOException {
    String requestId = request.header("x-request-id");
    String head = "X-Request-Id: " + requestId + "\r\nX-Instance-Id: " + id + "\r\n";
    if (request.path().equals("/healthz")) {
      write(out, "HTTP/1.1 200 OK\r\n" + head + "Content-Length: 0\r\n\r\n");
      return;
    }
    if (!request.header("x-expect-instance").equals(id)) {
      write(
          out,
          "HTTP/1.1 421 Misdirected Request\r\n"
              + head
              + "X-Not-Executed: 1\r\nContent-Length: 0\r\n\r\n");
      return;
    }
    runs.add(new Run(requestId, request.method(), request.path(), request.body().length));
    record.add(
        "run at replica %s of service %s: request %s, %s %s",
        id, service, requestId, request.method(), request.path());
    head += "X-Response-Seal: seal." + requestId + "\r\n";
    if (request.path().contains("/events/")) {
      events(request, socket, out, head, runs.size());
      return;
    }
    if (request.path().contains("/stream/")) {
      stream(out, head);
      return;
    }
    String body = "done " + requestId;
    write(out, "HTTP/1.1 200 OK\r\n" + head + "Content-Length: " + body.length() + "\r\n\r\n");
    write(out, body);
  }

  private void stream(OutputStream out, String head) throws IOException {
    write(
        out,
        "HTTP/1.1 200 OK\r\n"
            + head
            + "Content-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n");
    for (int event = 1; event <= 3 || !streamsFinished; event++) {
      String text = "id: " + event + "\ndata: token" + event + "\n\n";
      write(out, Integer.toHexString(text.length()) + "\r\n" + text + "\r\n");
      pause(100);
    }
    write(out, "0\r\n\r\n");
  }

  private void events(
      Http.Request request, Socket socket, OutputStream out, String head, int run)
      throws IOException {
    boolean continued = !request.header("kv-from").isEmpty();
    String last = request.header("last-event-id");
    long fromMs = Deployment.now();
    if (continued) {
      record.add(
          "request %s goes on at %s after event %s, from the memory at %s",
          request.header("x-request-id"), id, last, request.header("kv-from"));
    }
    boolean lost = false;
    try {
      write(
          out,
          "HTTP/1.1 200 OK\r\n"
              + head
              + "Content-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n");
      for (int event = last.isEmpty() ? 1 : Integer.parseInt(last) + 1; event <= EVENTS; event++) {
        if (!lost) {
          String text = "id: " + event + "\ndata: token" + event + "\n\n";
          write(out, Integer.toHexString(text.length()) + "\r\n" + text + "\r\n");
        }
        if (run == lostRun && event == LOST_AFTER_EVENT) {
          lost = true;
          record.add("the answer of request %s is lost at %s, its connection is reset",
              request.header("x-request-id"), id);
          socket.setSoLinger(true, 0);
          socket.close();
        }
        pause(EVENT_MS);
      }
      if (!lost) {
        write(out, "0\r\n\r\n");
      }
    } finally {
      long untilMs = Deployment.now();
      work.add(new Work(request.header("x-request-id"), id, continued, fromMs, untilMs));
      record.add("work on request %s ends at %s", request.header("x-request-id"), id);
    }
  }

  private static void write(OutputStream out, String text) throws IOException {
    out.write(text.getBytes(StandardCharsets.ISO_8859_1));
    out.flush();
  }

  @Override
  public void close() {
    stopped = true;
    try {
      listener.close();
    } catch (IOException e) {
      System.err.println("cannot close the listener of " + id + ": " + e);
    }
  }
}
