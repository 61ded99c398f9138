package dev.caroblb.configcheck.report;

import dev.caroblb.configcheck.Finding;
import java.util.List;
import java.util.Locale;

/** One line for each finding: {@code SEVERITY KIND FILE:PLACE: found FOUND; REMEDY}. */
public final class TextFormat implements FindingFormat {
  @Override
  public List<String> lines(List<Finding> findings) {
    return findings.stream().map(TextFormat::line).toList();
  }

  private static String line(Finding finding) {
    String line =
        finding.severity().name().toLowerCase(Locale.ROOT)
            + " "
            + finding.kind().name().toLowerCase(Locale.ROOT)
            + " "
            + finding.file()
            + ":"
            + finding.place()
            + ": found "
            + finding.found()
            + (finding.remedy().isEmpty() ? "" : "; " + finding.remedy());
    return line.replace('\n', ' ').replace('\r', ' ');
  }
}
