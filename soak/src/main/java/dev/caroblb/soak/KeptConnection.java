package dev.caroblb.soak;

import java.io.BufferedInputStream;
import java.io.EOFException;
import java.io.IOException;
import java.io.InputStream;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.Locale;

/**
 * One HTTP connection that carries one call after another until the instance closes it. HTTP
 * clients hide a connection that ends between two calls, because they repeat the call.
 */
final class KeptConnection implements AutoCloseable {
  private static final int CONNECT_TIMEOUT_MS = 2_000;
  private static final int READ_TIMEOUT_MS = 60_000;
  private static final int HEXADECIMAL = 16;

  /** Position of the three digits of the status in a status line. */
  private static final int STATUS_AT = "HTTP/1.1 ".length();

  /**
   * What the connection returned for one call.
   *
   * @param status status of the response; 0 if the connection ended before the first byte
   * @param complete whether the whole response arrived
   * @param last whether the instance announced that it closes the connection after the response
   */
  record Answer(int status, boolean complete, boolean last, String body) {
    static Answer none() {
      return new Answer(0, false, true, "");
    }
  }

  private final Socket socket = new Socket();
  private final InputStream in;
  private final StringBuilder body = new StringBuilder();
  private int status;
  private boolean chunked;
  private boolean last;
  private int length;

  KeptConnection(String address) throws IOException {
    int colon = address.lastIndexOf(':');
    try {
      socket.setTcpNoDelay(true);
      socket.connect(
          new InetSocketAddress(
              address.substring(0, colon), Integer.parseInt(address.substring(colon + 1))),
          CONNECT_TIMEOUT_MS);
      socket.setSoTimeout(READ_TIMEOUT_MS);
      in = new BufferedInputStream(socket.getInputStream());
    } catch (IOException e) {
      socket.close();
      throw e;
    }
  }

  /**
   * Sends a POST request and reads its response.
   *
   * @param headers header lines, each ended by CRLF
   * @throws java.net.SocketTimeoutException if the instance is silent for the read timeout
   */
  Answer post(String path, String headers, String requestBody) throws IOException {
    body.setLength(0);
    status = 0;
    chunked = false;
    last = false;
    length = 0;
    String head = "POST " + path + " HTTP/1.1\r\nHost: entry\r\n" + headers + "Content-Length: ";
    String request = head + requestBody.length() + "\r\n\r\n" + requestBody;
    try {
      socket.getOutputStream().write(request.getBytes(StandardCharsets.US_ASCII));
      readHead();
      readBody();
      return new Answer(status, true, last, body.toString());
    } catch (java.net.SocketTimeoutException e) {
      throw e;
    } catch (IOException e) {
      return status == 0 ? Answer.none() : new Answer(status, false, true, body.toString());
    }
  }

  private void readHead() throws IOException {
    String statusLine = readLine();
    status = Integer.parseInt(statusLine.substring(STATUS_AT, STATUS_AT + 3));
    for (String line = readLine(); !line.isEmpty(); line = readLine()) {
      String header = line.toLowerCase(Locale.ROOT);
      chunked |= header.equals("transfer-encoding: chunked");
      last |= header.equals("connection: close");
      if (header.startsWith("content-length: ")) {
        length = Integer.parseInt(header.substring("content-length: ".length()));
      }
    }
  }

  private void readBody() throws IOException {
    if (!chunked) {
      readBytes(length);
      return;
    }
    for (int size = chunkSize(); size > 0; size = chunkSize()) {
      readBytes(size);
      readLine();
    }
    readLine();
  }

  private int chunkSize() throws IOException {
    return Integer.parseInt(readLine(), HEXADECIMAL);
  }

  private void readBytes(int count) throws IOException {
    byte[] bytes = in.readNBytes(count);
    body.append(new String(bytes, StandardCharsets.UTF_8));
    if (bytes.length < count) {
      throw new EOFException("the connection ended inside a response");
    }
  }

  private String readLine() throws IOException {
    StringBuilder line = new StringBuilder();
    for (int next = in.read(); next != '\n'; next = in.read()) {
      if (next < 0) {
        throw new EOFException("the connection ended inside a response");
      }
      line.append((char) next);
    }
    return line.toString().strip();
  }

  @Override
  public void close() throws IOException {
    socket.close();
  }
}
