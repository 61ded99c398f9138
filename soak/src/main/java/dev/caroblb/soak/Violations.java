package dev.caroblb.soak;

import java.util.ArrayList;
import java.util.List;

/** Collects the violated guarantees, each with its evidence. */
final class Violations {
  private static final int MAX_RECORDED = 100;

  private final List<String> recorded = new ArrayList<>();

  synchronized void add(String guarantee, String evidence) {
    if (recorded.size() < MAX_RECORDED) {
      recorded.add(guarantee + ": " + evidence);
    }
  }

  synchronized List<String> all() {
    return List.copyOf(recorded);
  }
}
