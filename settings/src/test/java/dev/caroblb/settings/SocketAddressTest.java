package dev.caroblb.settings;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.util.List;
import java.util.Optional;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;

class SocketAddressTest {
  @Nested
  class Parsing {
    /** Guards against a form that is read differently from how it is written. */
    @Test
    void acceptsIpLiterals() {
      for (String text : List.of("127.0.0.1:0", "10.255.0.9:65535", "[::1]:7001")) {
        assertEquals(Optional.of(text), SocketAddress.parse(text).map(SocketAddress::toString));
      }
    }

    /** Guards against text that would be looked up as a host name, and ports out of range. */
    @Test
    void refusesOtherText() {
      for (String text : List.of("localhost:1", "300.1.1.1:1", "127.0.0.1:65536", "[::g]:1", "")) {
        assertEquals(Optional.empty(), SocketAddress.parse(text), text);
      }
    }
  }
}
