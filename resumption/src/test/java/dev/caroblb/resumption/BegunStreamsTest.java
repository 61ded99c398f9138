package dev.caroblb.resumption;

import static org.junit.jupiter.api.Assertions.assertEquals;

import dev.caroblb.core.SoftwareVersion;
import java.util.Optional;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;

class BegunStreamsTest {
  private static final StreamOrigin V1 = new StreamOrigin("service", new SoftwareVersion("v1"));
  private static final StreamOrigin V2 = new StreamOrigin("service", new SoftwareVersion("v2"));

  private final BegunStreams streams = new BegunStreams();

  @Nested
  class Records {
    /** Guards against a late record that moves a stream to another version. */
    @Test
    void keepTheFirstOrigin() {
      streams.began("a", V1, 1_000, 0);
      streams.began("a", V2, 1_000, 10);
      assertEquals(Optional.of(V1), streams.origin("a", 20));
    }

    /** Guards against records that outlive the streams they are for. */
    @Test
    void endWithTheTimeOfTheirCaller() {
      streams.began("a", V1, 1_000, 0);
      assertEquals(Optional.of(V1), streams.origin("a", 999));
      assertEquals(Optional.empty(), streams.origin("a", 1_000));
      streams.began("b", V1, 1_000, 2_000);
      assertEquals(1, streams.size());
    }

    /** Guards against memory that grows with the number of streams. */
    @Test
    void areBounded() {
      for (int i = 0; i <= BegunStreams.MAX_STREAMS; i++) {
        streams.began("a" + i, V1, 60_000, 0);
      }
      assertEquals(BegunStreams.MAX_STREAMS, streams.size());
      assertEquals(Optional.empty(), streams.origin("a0", 1));
      assertEquals(Optional.of(V1), streams.origin("a1", 1));
    }
  }
}
