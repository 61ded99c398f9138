package dev.caroblb.scheduling;

import static org.junit.jupiter.api.Assertions.assertTrue;

import dev.caroblb.scheduling.ContentionDriver.Caller;
import dev.caroblb.scheduling.ContentionDriver.Kind;
import dev.caroblb.scheduling.ContentionDriver.Outcome;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/** Requests of equal priority and of many sizes, more than the engines can serve. */
class SizesTest {
  private static final int ENGINES = 13;
  private static final long CALM_MS = 20_000;
  private static final long OVERLOAD_MS = 10_000;

  /** Tokens of the tenths of each kind of request, in order. */
  private static final List<Long> BRIEF_TENTHS =
      List.of(900L, 1_300L, 1_600L, 1_850L, 2_100L, 2_350L, 2_650L, 3_000L, 3_600L, 5_300L);

  private static final List<Long> LASTING_TENTHS =
      List.of(2_000L, 2_400L, 2_700L, 3_000L, 3_300L, 3_600L, 4_000L, 4_500L, 5_100L, 6_500L);

  private static Kind brief(long tokens) {
    return new Kind("brief", 1, tokens, 300 + tokens / 4, 1_500, Caller.RETURNS_ONCE);
  }

  private static Kind lasting(long tokens) {
    return new Kind("lasting", 1, tokens, 5_500, 1_800, Caller.RETURNS_ONCE);
  }

  private static Map<Kind, Double> rates(double briefPerSecond, double lastingPerSecond) {
    Map<Kind, Double> rates = new HashMap<>();
    BRIEF_TENTHS.forEach(tokens -> rates.put(brief(tokens), briefPerSecond / 10));
    LASTING_TENTHS.forEach(tokens -> rates.put(lasting(tokens), lastingPerSecond / 10));
    return rates;
  }

  private static double servedShare(List<Outcome> outcomes) {
    double served = outcomes.stream().mapToInt(each -> each.inTime + each.late).sum();
    return served / outcomes.stream().mapToInt(each -> each.offered).sum();
  }

  private static void assertLargeOnesServed(List<Outcome> tenths) {
    double all = servedShare(tenths);
    double largestTenth = servedShare(tenths.subList(9, 10));
    double nextFifth = servedShare(tenths.subList(7, 9));
    assertTrue(largestTenth >= all / 2, "largest tenth " + largestTenth + ", all " + all);
    assertTrue(nextFifth >= all / 2, "next fifth " + nextFifth + ", all " + all);
  }

  @Nested
  class Overload {
    /** Guards against overload in which small requests take the room of large ones before them. */
    @ParameterizedTest
    @CsvSource({"68, 20", "100, 20", "68, 24", "100, 24"})
    void servesTheLargestHalfAsOftenAsAll(double briefPerSecond, double lastingPerSecond) {
      Map<Kind, Outcome> played = new HashMap<>();
      for (int seed = 1; seed <= 8; seed++) {
        ContentionDriver driver = new ContentionDriver(ENGINES, seed);
        driver.run(CALM_MS, rates(27, lastingPerSecond / 2));
        Map<Kind, Outcome> overloaded =
            driver.run(OVERLOAD_MS, rates(briefPerSecond, lastingPerSecond));
        driver.run(OVERLOAD_MS, rates(27, lastingPerSecond / 2));
        overloaded.forEach((kind, outcome) -> played.merge(kind, outcome, Outcome::plus));
      }
      assertLargeOnesServed(BRIEF_TENTHS.stream().map(SizesTest::brief).map(played::get).toList());
      assertLargeOnesServed(
          LASTING_TENTHS.stream().map(SizesTest::lasting).map(played::get).toList());
    }
  }
}
