package dev.caroblb.soak;

import java.util.ArrayList;
import java.util.List;

/** The promises that were seen broken, each with what shows it. */
final class Violations {
  private static final int MAX_KEPT = 100;

  private final List<String> seen = new ArrayList<>();

  synchronized void add(String promise, String evidence) {
    if (seen.size() < MAX_KEPT) {
      seen.add(promise + ": " + evidence);
    }
  }

  synchronized List<String> all() {
    return List.copyOf(seen);
  }
}
