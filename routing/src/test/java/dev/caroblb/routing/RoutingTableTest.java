package dev.caroblb.routing;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Random;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;

class RoutingTableTest {
  private static Route route(String host, String prefix, List<WeightedService> services) {
    return new Route(
        prefix, host, prefix, RepeatRule.REPEATABLE, 1, 1, 0, services, 1, true, false, false, 0);
  }

  private static RoutingTable table(Route... routes) {
    return new RoutingTable(
        1, List.of(routes), Map.of(), new CallerLimits(1, 1, 1, 1), Optional.empty());
  }

  @Nested
  class Match {
    private final List<WeightedService> one = List.of(new WeightedService("s", 1));
    private final RoutingTable table =
        table(route("h", "/a/", one), route("h", "/a/b/", one), route("g", "/", one));

    private Optional<String> matched(String host, String path) {
      return table.match(host, path).map(Route::prefix);
    }

    /**
     * Guards against matching a shorter prefix, a prefix that ends within a path segment, or a
     * route of another host.
     */
    @Test
    void theLongestPrefixOfTheHostWins() {
      assertEquals(Optional.of("/a/b/"), matched("h", "/a/b/c"));
      assertEquals(Optional.of("/a/"), matched("h", "/a/bc"));
      assertEquals(Optional.empty(), matched("h", "/ab/"));
      assertEquals(Optional.of("/"), matched("g", "/a/b/"));
      assertEquals(Optional.empty(), matched("x", "/a/"));
    }
  }

  @Nested
  class Split {
    /** Guards against ignored weights, and against requests for services with weight 0. */
    @Test
    void followsTheWeights() {
      Route split =
          route(
              "h",
              "/",
              List.of(
                  new WeightedService("most", 90),
                  new WeightedService("few", 10),
                  new WeightedService("none", 0)));
      Random random = new Random(3);
      Map<String, Integer> counts = new HashMap<>();
      for (int i = 0; i < 10_000; i++) {
        counts.merge(split.chooseService(random), 1, Integer::sum);
      }
      assertEquals(2, counts.size());
      assertTrue(Math.abs(counts.get("few") - 1_000) < 150, "few got " + counts.get("few"));
    }
  }
}
