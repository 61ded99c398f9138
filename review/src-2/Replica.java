import java.io.BufferedInputStream;
import java.io.IOException;
import java.io.OutputStream;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.atomic.AtomicInteger;

/** Stand-in of a replica that streams events, each with the request's id and a number. */
final class Replica implements AutoCloseable {
  /** A request that the replica works on. */
  static final class Run {
    final String id;
    volatile boolean stopped;
    volatile int made;
    volatile long endMs = Long.MAX_VALUE;
    final long startMs;

    Run(String id, long startMs) {
      this.id = id;
      this.startMs = startMs;
    }
  }

  /** What a replica does with a request; returns false if it sends the usual answer instead. */
  interface Trouble {
    boolean handle(Replica replica, Http.Head request, Run run, Socket socket) throws Exception;
  }

  final String id;
  final String version;
  final Deployment deployment;
  final InetSocketAddress address;
  final Map<String, Run> runs = new ConcurrentHashMap<>();
  final AtomicInteger served = new AtomicInteger();
  private final String service;
  private final String zone;
  private final int slots;
  private final int events;
  private final int gapMs;
  private final long born = System.currentTimeMillis();
  private final ServerSocket server;
  private final Trouble trouble;
  private final int firstBeatMs;
  private final java.util.Set<Socket> sockets = ConcurrentHashMap.newKeySet();
  private volatile boolean closed;

  /** Whether the replica does not reach the control machines. */
  volatile boolean cutOff;

  Replica(
      Deployment deployment,
      int number,
      String service,
      String version,
      int slots,
      int events,
      int gapMs,
      Trouble trouble)
      throws IOException {
    this(deployment, number, service, version, slots, events, gapMs, trouble, 0, 0);
  }

  /**
   * @param port port to listen on; 0 for a free one
   * @param firstBeatMs time after the start at which the first heartbeat is sent
   */
  Replica(
      Deployment deployment,
      int number,
      String service,
      String version,
      int slots,
      int events,
      int gapMs,
      Trouble trouble,
      int port,
      int firstBeatMs)
      throws IOException {
    this.deployment = deployment;
    this.firstBeatMs = firstBeatMs;
    this.id = "i-" + number;
    this.service = service;
    this.version = version;
    this.zone = "zone-" + "abc".charAt(number % 3);
    this.slots = slots;
    this.events = events;
    this.gapMs = gapMs;
    this.trouble = trouble;
    server = new ServerSocket();
    server.setReuseAddress(true);
    server.bind(
        new InetSocketAddress(
            InetAddress.getByName(deployment.prefix + (101 + number)), port),
        256);
    address = (InetSocketAddress) server.getLocalSocketAddress();
    daemon(this::accept);
    daemon(this::announce);
  }

  private static void daemon(Runnable task) {
    Thread thread = new Thread(task);
    thread.setDaemon(true);
    thread.start();
  }

  private void announce() {
    int next = 0;
    Review.pause(firstBeatMs);
    for (long seq = 1; !closed; seq++) {
      String body =
          "{\"service\":\"" + service + "\",\"address\":\"" + address.getAddress().getHostAddress()
              + ":" + address.getPort() + "\",\"zone\":\"" + zone + "\",\"version\":\"" + version
              + "\",\"slots\":" + slots + ",\"state\":\"ready\",\"cold-left-ms\":0,"
              + "\"phase\":\"both\",\"models\":[{\"name\":\"m\",\"version\":1,\"adapters\":[]}],"
              + "\"born\":" + born + ",\"seq\":" + seq + "}";
      for (int i = 0; i < 3 && !closed && !cutOff; i++) {
        InetSocketAddress control = deployment.cores().get(next % 3).control();
        int status =
            Deployment.call(control, "PUT", "/v1/instances/" + id, body, new LinkedHashMap<>());
        if (status == 200) {
          break;
        }
        next++;
      }
      try {
        Thread.sleep(1_200);
      } catch (InterruptedException e) {
        return;
      }
    }
  }

  private void accept() {
    while (!closed) {
      try {
        Socket socket = server.accept();
        socket.setTcpNoDelay(true);
        sockets.add(socket);
        daemon(() -> serve(socket));
      } catch (IOException e) {
        return;
      }
    }
  }

  private void serve(Socket socket) {
    try (socket) {
      BufferedInputStream in = new BufferedInputStream(socket.getInputStream());
      while (!closed) {
        Http.Head request = Http.readHead(in);
        if (request.field("expect").equalsIgnoreCase("100-continue")) {
          write(socket.getOutputStream(), "HTTP/1.1 100 Continue\r\n\r\n");
        }
        String length = request.field("content-length");
        String body = "";
        if (!length.isEmpty()) {
          body = new String(in.readNBytes(Integer.parseInt(length)), StandardCharsets.UTF_8);
        }
        String[] start = request.start.split(" ");
        if (start[1].equals("/v1/kv-move")) {
          move(body, socket.getOutputStream());
          continue;
        }
        if (start[1].startsWith("/v1/") || start[1].equals("/healthz")) {
          answer(socket.getOutputStream(), "200 OK", "X-Instance-Id: " + id + "\r\n", "{}");
          continue;
        }
        if (!request.field("x-expect-instance").equals(id)) {
          answer(socket.getOutputStream(), "421 Misdirected Request", echo(request), "");
          continue;
        }
        Run run = new Run(request.field("x-request-id"), deployment.record.ms());
        runs.put(run.id, run);
        served.incrementAndGet();
        deployment.record.line(
            id + " (" + version + ") runs " + run.id + ", Last-Event-Id="
                + request.field("last-event-id") + ", Kv-From=" + request.field("kv-from"));
        try {
          if (trouble == null || !trouble.handle(this, request, run, socket)) {
            stream(request, run, socket.getOutputStream());
          }
        } finally {
          run.endMs = deployment.record.ms();
        }
      }
    } catch (Exception e) {
      // The connection is closed; a run on it has been dropped.
    }
  }

  static String echo(Http.Head request) {
    return "X-Request-Id: " + request.field("x-request-id") + "\r\n";
  }

  /** A head with the signature. */
  static String head(Http.Head request) {
    return "HTTP/1.1 200 OK\r\n" + echo(request)
        + "X-Response-Seal: seal." + request.field("x-request-id")
        + "\r\nContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n";
  }

  static void write(OutputStream out, String text) throws IOException {
    out.write(text.getBytes(StandardCharsets.ISO_8859_1));
    out.flush();
  }

  String event(int number) {
    String event = "id: " + number + "\ndata: event " + number + " " + version + "\n\n";
    return Integer.toHexString(event.length()) + "\r\n" + event + "\r\n";
  }

  static int first(Http.Head request) {
    String last = request.field("last-event-id");
    return last.isEmpty() ? 1 : Integer.parseInt(last) + 1;
  }

  int events() {
    return events;
  }

  int gapMs() {
    return gapMs;
  }

  private void stream(Http.Head request, Run run, OutputStream out)
      throws IOException, InterruptedException {
    write(out, head(request) + "\r\n");
    for (int i = first(request); i <= events; i++) {
      Thread.sleep(gapMs);
      if (run.stopped) {
        throw new IOException("stopped by an order");
      }
      write(out, event(i));
      run.made = i;
    }
    write(out, "0\r\n\r\n");
  }

  private static void answer(OutputStream out, String status, String fields, String body)
      throws IOException {
    write(
        out,
        "HTTP/1.1 " + status + "\r\n" + fields + "Content-Length: " + body.length() + "\r\n\r\n"
            + body);
  }

  /** Handles an order to copy a run's memory; a final one stops the run. */
  private void move(String body, OutputStream out) throws IOException {
    String run = body.replaceAll(".*\"id\":\"([^\"]*)\".*", "$1");
    boolean last = body.contains("\"final\":true");
    Run running = runs.get(run);
    boolean known = running != null && running.endMs == Long.MAX_VALUE && !running.stopped;
    deployment.record.line(id + " gets kv-move of " + run + ", final=" + last + ", known=" + known);
    if (!known) {
      answer(out, "404 Not Found", "", "{}");
      return;
    }
    if (last) {
      running.stopped = true;
    }
    String json = "{\"transfer-handle\":\"h-" + run + "\",\"made\":" + running.made + "}";
    answer(out, "200 OK", "Content-Type: application/json\r\n", json);
  }

  /** Ends the replica as a crash does: its connections are reset, and it says nothing. */
  void crash() throws IOException {
    close();
    for (Socket socket : sockets) {
      try {
        socket.setSoLinger(true, 0);
        socket.close();
      } catch (IOException e) {
        // The connection was closed before.
      }
    }
  }

  @Override
  public void close() throws IOException {
    closed = true;
    server.close();
  }
}
