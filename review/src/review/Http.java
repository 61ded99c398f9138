package review;

import java.io.BufferedInputStream;
import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.LinkedHashMap;
import java.util.Locale;
import java.util.Map;

/** Minimal HTTP/1.1 messages over blocking sockets. */
final class Http {
  private Http() {}

  /**
   * Response as a caller sees it.
   *
   * @param status 0 if there was no response
   * @param complete whether the body arrived completely
   * @param error what ended the call without a complete response
   */
  record Response(
      int status, Map<String, String> headers, byte[] body, boolean complete, String error) {
    String header(String name) {
      return headers.getOrDefault(name, "");
    }

    String text() {
      return new String(body, StandardCharsets.UTF_8);
    }

    String summary() {
      return status + (complete ? " complete" : " incomplete (" + error + ")");
    }
  }

  /** Head and body of a request. */
  record Request(String method, String path, Map<String, String> headers, byte[] body) {
    String header(String name) {
      return headers.getOrDefault(name, "");
    }
  }

  /** Sends a request on a new connection, with one second to connect, and reads the response. */
  static Response call(
      String ip,
      int port,
      String method,
      String path,
      Map<String, String> headers,
      byte[] body,
      int timeoutMs) {
    try (Socket socket = new Socket()) {
      socket.connect(new InetSocketAddress(ip, port), 1_000);
      return exchange(socket, method, path, headers, body, timeoutMs);
    } catch (IOException e) {
      return new Response(0, Map.of(), new byte[0], false, e.toString());
    }
  }

  static Response exchange(
      Socket socket,
      String method,
      String path,
      Map<String, String> headers,
      byte[] body,
      int timeoutMs)
      throws IOException {
    socket.setSoTimeout(timeoutMs);
    socket.setTcpNoDelay(true);
    StringBuilder head = new StringBuilder(method + " " + path + " HTTP/1.1\r\n");
    headers.forEach((name, value) -> head.append(name).append(": ").append(value).append("\r\n"));
    if (body.length > 0) {
      head.append("Content-Length: ").append(body.length).append("\r\n");
    }
    OutputStream out = socket.getOutputStream();
    out.write((head + "\r\n").getBytes(StandardCharsets.ISO_8859_1));
    out.write(body);
    out.flush();
    return readResponse(new BufferedInputStream(socket.getInputStream()));
  }

  static Response readResponse(InputStream in) {
    int status = 0;
    Map<String, String> headers = Map.of();
    ByteArrayOutputStream body = new ByteArrayOutputStream();
    try {
      String line = line(in);
      status = Integer.parseInt(line.split(" ")[1]);
      headers = headers(in);
      readBody(in, headers, body);
      return new Response(status, headers, body.toByteArray(), true, "");
    } catch (IOException | RuntimeException e) {
      return new Response(status, headers, body.toByteArray(), false, e.toString());
    }
  }

  private static void readBody(
      InputStream in, Map<String, String> headers, ByteArrayOutputStream body) throws IOException {
    if (headers.getOrDefault("transfer-encoding", "").equals("chunked")) {
      int size = Integer.parseInt(line(in).strip(), 16);
      while (size > 0) {
        copy(in, size, body);
        line(in);
        size = Integer.parseInt(line(in).strip(), 16);
      }
      line(in);
    } else {
      copy(in, Integer.parseInt(headers.getOrDefault("content-length", "0")), body);
    }
  }

  private static void copy(InputStream in, int size, ByteArrayOutputStream body)
      throws IOException {
    byte[] buffer = new byte[65_536];
    int left = size;
    while (left > 0) {
      int count = in.read(buffer, 0, Math.min(left, buffer.length));
      if (count < 0) {
        throw new IOException("connection closed within the body");
      }
      body.write(buffer, 0, count);
      left -= count;
    }
  }

  /** Reads a request; answers an expectation of 100 (Continue) before the body. */
  static Request readRequest(InputStream in, OutputStream out) throws IOException {
    String[] line = line(in).split(" ");
    Map<String, String> headers = headers(in);
    if (headers.getOrDefault("expect", "").equalsIgnoreCase("100-continue")) {
      out.write("HTTP/1.1 100 Continue\r\n\r\n".getBytes(StandardCharsets.ISO_8859_1));
      out.flush();
    }
    ByteArrayOutputStream body = new ByteArrayOutputStream();
    readBody(in, headers, body);
    return new Request(line[0], line[1], headers, body.toByteArray());
  }

  private static Map<String, String> headers(InputStream in) throws IOException {
    Map<String, String> headers = new LinkedHashMap<>();
    String line = line(in);
    while (!line.isEmpty()) {
      int colon = line.indexOf(':');
      headers.put(
          line.substring(0, colon).toLowerCase(Locale.ROOT), line.substring(colon + 1).strip());
      line = line(in);
    }
    return headers;
  }

  private static String line(InputStream in) throws IOException {
    ByteArrayOutputStream line = new ByteArrayOutputStream();
    int next = in.read();
    while (next != '\n') {
      if (next < 0) {
        throw new IOException("connection closed");
      }
      if (next != '\r') {
        line.write(next);
      }
      next = in.read();
    }
    return line.toString(StandardCharsets.ISO_8859_1);
  }
}
