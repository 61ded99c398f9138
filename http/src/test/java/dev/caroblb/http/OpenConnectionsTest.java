package dev.caroblb.http;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.lang.reflect.Proxy;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.util.ArrayList;
import java.util.List;
import org.apache.hc.core5.reactor.IOSession;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;

class OpenConnectionsTest {
  private static final InetSocketAddress LOCAL =
      new InetSocketAddress(InetAddress.getLoopbackAddress(), 40_000);
  private static final InetSocketAddress FIRST = new InetSocketAddress("127.0.0.2", 80);
  private static final InetSocketAddress SECOND = new InetSocketAddress("127.0.0.3", 80);

  private final OpenConnections connections = new OpenConnections();
  private final List<String> closed = new ArrayList<>();

  private IOSession session(String id, InetSocketAddress remote) {
    return (IOSession)
        Proxy.newProxyInstance(
            IOSession.class.getClassLoader(),
            new Class<?>[] {IOSession.class},
            (proxy, method, arguments) -> call(id, remote, method.getName()));
  }

  private Object call(String id, InetSocketAddress remote, String method) {
    return switch (method) {
      case "getId" -> id;
      case "getLocalAddress" -> LOCAL;
      case "getRemoteAddress" -> remote;
      case "close" -> {
        closed.add(id);
        yield null;
      }
      default -> throw new UnsupportedOperationException(method);
    };
  }

  @Nested
  class OneLocalAddress {
    /**
     * Guards against closing the connection of another request when the kernel uses one local port
     * for connections to two targets.
     */
    @Test
    void closesTheConnectionToTheGivenTarget() {
      connections.connected(session("a", FIRST));
      connections.connected(session("b", SECOND));
      connections.close(new ConnectionAddresses(LOCAL, FIRST));
      assertEquals(List.of("a"), closed);
      connections.close(new ConnectionAddresses(LOCAL, SECOND));
      assertEquals(List.of("a", "b"), closed);
    }
  }
}
