package dev.caroblb.configcheck.report;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import dev.caroblb.configcheck.Finding;
import dev.caroblb.configcheck.Severity;
import dev.caroblb.configcheck.Verdict;
import java.util.List;
import java.util.Locale;

/** One JSON object on one line; {@code docs/OPERATIONS.md} describes its fields. */
public final class JsonFormat implements FindingFormat {
  private static final ObjectMapper MAPPER = new ObjectMapper();

  @Override
  public List<String> lines(List<Finding> findings) {
    ObjectNode root = MAPPER.createObjectNode();
    root.put("verdict", Verdict.of(findings).name().toLowerCase(Locale.ROOT));
    root.put("errors", count(findings, Severity.ERROR));
    root.put("warnings", count(findings, Severity.WARNING));
    ArrayNode array = root.putArray("findings");
    for (Finding finding : findings) {
      array
          .addObject()
          .put("kind", finding.kind().name().toLowerCase(Locale.ROOT))
          .put("severity", finding.severity().name().toLowerCase(Locale.ROOT))
          .put("file", finding.file())
          .put("place", finding.place())
          .put("found", finding.found())
          .put("remedy", finding.remedy());
    }
    try {
      return List.of(MAPPER.writeValueAsString(root));
    } catch (JsonProcessingException e) {
      throw new IllegalStateException("findings cannot be written as JSON", e);
    }
  }

  private static long count(List<Finding> findings, Severity severity) {
    return findings.stream().filter(finding -> finding.severity() == severity).count();
  }
}
