import java.io.BufferedInputStream;
import java.io.IOException;
import java.io.InputStream;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.net.SocketTimeoutException;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;

/** Stand-in of a client: one attempt of a request. */
final class Caller {
  /** What a client saw of one attempt. */
  static final class Outcome {
    volatile int status = -1;
    volatile boolean complete;
    volatile String error = "";
    volatile double retryAfterS;
    volatile long sentMs;
    final List<Integer> events = new ArrayList<>();
    final java.util.Set<String> versions = java.util.concurrent.ConcurrentHashMap.newKeySet();

    /** Whether the connection ended after the request was sent, without a complete answer. */
    boolean cut() {
      return !complete;
    }
  }

  private Caller() {}

  static Outcome send(
      Deployment deployment,
      InetSocketAddress entry,
      String path,
      String requestId,
      String fields,
      String body,
      long patienceMs,
      Outcome outcome) {
    Record record = deployment.record;
    outcome.sentMs = record.ms();
    record.line("client sends " + requestId + " to " + entry.getAddress().getHostAddress()
        + " " + fields.replace("\r\n", "; "));
    try (Socket socket = new Socket()) {
      socket.connect(entry, 1_000);
      socket.setTcpNoDelay(true);
      socket.setSoTimeout((int) patienceMs);
      byte[] bytes = body.getBytes(StandardCharsets.UTF_8);
      String head =
          "POST " + path + " HTTP/1.1\r\nHost: app.example\r\nX-Request-Id: " + requestId + "\r\n"
              + fields + "Content-Length: " + bytes.length + "\r\n\r\n";
      socket.getOutputStream().write(head.getBytes(StandardCharsets.ISO_8859_1));
      socket.getOutputStream().write(bytes);
      socket.getOutputStream().flush();
      InputStream in = new BufferedInputStream(socket.getInputStream());
      Http.Head response = Http.readHead(in);
      outcome.status = Integer.parseInt(response.start.split(" ")[1]);
      String after = response.field("retry-after");
      outcome.retryAfterS = after.isEmpty() ? 0 : Double.parseDouble(after);
      if (response.field("transfer-encoding").equals("chunked")) {
        readEvents(in, outcome);
      } else {
        in.readNBytes(Integer.parseInt(response.field("content-length")));
        outcome.complete = true;
      }
    } catch (SocketTimeoutException e) {
      outcome.error = "gave up after " + patienceMs + " ms without a byte";
    } catch (IOException | RuntimeException e) {
      outcome.error = e.toString();
    }
    record.line("client got " + requestId + " status=" + outcome.status + " events="
        + outcome.events.size() + " of " + outcome.versions + " complete=" + outcome.complete + " " + outcome.error);
    return outcome;
  }

  private static void readEvents(InputStream in, Outcome outcome) throws IOException {
    StringBuilder pending = new StringBuilder();
    while (true) {
      int size = Integer.parseInt(Http.readLine(in).strip(), 16);
      if (size == 0) {
        Http.readLine(in);
        outcome.complete = true;
        return;
      }
      pending.append(new String(in.readNBytes(size), StandardCharsets.ISO_8859_1));
      Http.readLine(in);
      int end = pending.indexOf("\n\n");
      while (end >= 0) {
        String event = pending.substring(0, end);
        pending.delete(0, end + 2);
        if (event.startsWith("id: ")) {
          outcome.events.add(Integer.parseInt(event.substring(4, event.indexOf('\n'))));
          outcome.versions.add(event.substring(event.lastIndexOf(' ') + 1));
        }
        end = pending.indexOf("\n\n");
      }
    }
  }
}
