package dev.caroblb.settings;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.util.List;
import java.util.Optional;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;

class SocketAddressTest {
  @Nested
  class Parsing {
    /** Guards against addresses that change when they are parsed and formatted again. */
    @Test
    void acceptsIpLiterals() {
      for (String text : List.of("127.0.0.1:0", "10.255.0.9:65535", "[::1]:7001")) {
        assertEquals(Optional.of(text), SocketAddress.parse(text).map(SocketAddress::toString));
      }
    }

    /**
     * Guards against host names, which would need a lookup, and against invalid addresses and
     * ports.
     */
    @Test
    void refusesOtherText() {
      for (String text : List.of("localhost:1", "300.1.1.1:1", "127.0.0.1:65536", "[::g]:1", "")) {
        assertEquals(Optional.empty(), SocketAddress.parse(text), text);
      }
    }
  }
}
