package dev.caroblb.configcheck;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;

/** Compares the entries of two versions, each a list of settings by the place of the entry. */
public final class Comparison {
  private Comparison() {}

  /** Returns the entries and values that were added, removed and changed. */
  public static List<Finding> differences(
      Map<String, List<Setting>> inForce, Map<String, List<Setting>> next) {
    List<Finding> findings = new ArrayList<>();
    inForce.forEach(
        (place, settings) -> {
          if (!next.containsKey(place)) {
            findings.add(Finding.difference(place, "removed"));
          }
        });
    next.forEach(
        (place, settings) -> {
          List<Setting> before = inForce.get(place);
          if (before == null) {
            findings.add(Finding.difference(place, "added"));
          } else {
            changes(place, before, settings, findings);
          }
        });
    return findings;
  }

  /** Entries of one kind have the same settings in the same order. */
  private static void changes(
      String place, List<Setting> before, List<Setting> after, List<Finding> findings) {
    for (int i = 0; i < after.size(); i++) {
      Setting old = before.get(i);
      Setting changed = after.get(i);
      if (old.value().equals(changed.value())) {
        continue;
      }
      String shown =
          old.shown().equals(changed.shown())
              ? changed.name() + " changed (" + changed.shown() + ")"
              : changed.name() + " changed from " + old.shown() + " to " + changed.shown();
      findings.add(Finding.difference(place, shown));
    }
  }
}
