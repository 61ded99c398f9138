package dev.caroblb.core;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.List;
import java.util.Optional;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;

class IpEndpointsTest {
  @Nested
  class WellFormed {
    /** Guards against rejecting addresses that targets have. */
    @Test
    void isAccepted() {
      for (String text : List.of("10.128.0.9:8080", "127.0.0.1:1", "0.1.2.3:65535", "[::1]:80")) {
        assertTrue(IpEndpoints.parse(text).isPresent(), text);
        assertTrue(IpEndpoints.parseUnicast(text).isPresent(), text);
      }
      assertEquals(8080, IpEndpoints.parse("10.128.0.9:8080").orElseThrow().getPort());
    }
  }

  @Nested
  class Malformed {
    /** Guards against exceptions, name resolution and ports out of range. */
    @Test
    void isRejected() {
      for (String text :
          List.of(
              "",
              ":",
              "10.0.0.1",
              "10.0.0.1:",
              ":80",
              "10.0.0.1:0",
              "10.0.0.1:-1",
              "10.0.0.1:65536",
              "10.0.0.1:99999999999",
              "10.0.0.1:+80",
              "10.0.0.1: 80",
              "10.0.0.1:\u0668\u0660",
              "10.0.0.1:080",
              "999.1.1.1:80",
              "10.0.0.256:80",
              "10.0.0:80",
              "10.0.0.1.2:80",
              "010.0.0.1:80",
              "localhost:80",
              "a.example:80",
              "::1:80",
              "[::1]",
              "[]:80",
              "[:]:80",
              "[fe80::1%eth0]:80",
              "[1.2.3.4]x:80",
              "10.0.0.1\u0000:80",
              "10.0.0.1:80\n",
              "1".repeat(1 << 20) + ":80")) {
        assertEquals(Optional.empty(), IpEndpoints.parse(text));
      }
    }

    /** Guards against connections to addresses that no single machine has. */
    @Test
    void addressesOfNoMachineAreRejected() {
      for (String text :
          List.of("0.0.0.0:80", "224.0.0.1:80", "255.255.255.255:80", "[::]:80", "[ff02::1]:80")) {
        assertTrue(IpEndpoints.parse(text).isPresent(), text);
        assertEquals(Optional.empty(), IpEndpoints.parseUnicast(text));
      }
    }
  }
}
