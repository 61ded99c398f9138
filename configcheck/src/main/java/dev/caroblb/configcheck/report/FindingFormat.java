package dev.caroblb.configcheck.report;

import dev.caroblb.configcheck.Finding;
import java.util.List;

/** Output format of findings. */
@FunctionalInterface
public interface FindingFormat {
  /** Returns the lines to print. */
  List<String> lines(List<Finding> findings);

  /** The text format, or JSON. */
  static FindingFormat of(boolean json) {
    return json ? new JsonFormat() : new TextFormat();
  }
}
