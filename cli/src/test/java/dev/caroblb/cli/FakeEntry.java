package dev.caroblb.cli;

import com.sun.net.httpserver.HttpExchange;
import com.sun.net.httpserver.HttpServer;
import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;

/** HTTP server that responds to every request in the same way and records the requests. */
final class FakeEntry implements AutoCloseable {
  private final HttpServer server;
  private final ExecutorService threads = Executors.newCachedThreadPool();
  private final List<String> received = new CopyOnWriteArrayList<>();

  /** Responds to a request; without a response the connection is closed. */
  interface Responder {
    void respond(HttpExchange exchange) throws IOException;
  }

  FakeEntry(Responder responder) throws IOException {
    server = HttpServer.create(new InetSocketAddress(InetAddress.getLoopbackAddress(), 0), 0);
    server.setExecutor(threads);
    server.createContext(
        "/",
        exchange -> {
          String body =
              new String(exchange.getRequestBody().readAllBytes(), StandardCharsets.UTF_8);
          received.add(exchange.getRequestMethod() + " " + exchange.getRequestURI() + " " + body);
          responder.respond(exchange);
          exchange.close();
        });
    server.start();
  }

  static Responder json(int status, String body) {
    return response(status, "application/json", body);
  }

  static Responder response(int status, String type, String body) {
    return exchange -> {
      byte[] bytes = body.getBytes(StandardCharsets.UTF_8);
      exchange.getResponseHeaders().add("Content-Type", type);
      exchange.sendResponseHeaders(status, bytes.length);
      exchange.getResponseBody().write(bytes);
    };
  }

  /** Closes the connection without a response once the request has been received. */
  static Responder noResponse() {
    return exchange -> {};
  }

  String address() {
    return "127.0.0.1:" + server.getAddress().getPort();
  }

  List<String> received() {
    return received;
  }

  @Override
  public void close() {
    server.stop(0);
    threads.shutdownNow();
  }
}
