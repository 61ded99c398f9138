package dev.caroblb.configcheck.teams;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import dev.caroblb.configcheck.ConfigurationRule;
import dev.caroblb.configcheck.Finding;
import dev.caroblb.configcheck.Kind;
import dev.caroblb.configuration.teamfile.TeamFile;
import dev.caroblb.configuration.teamfile.TeamFileReader;
import java.util.List;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;

class TeamRulesTest {
  private static final String WORKSPACE =
      """
      [[workspaces]]
      name = "mart"
      token_sha256 = "f6181d5b24e7da844ab5ec4cf687aa8a54f403117efdc3a848d94877cece57b9"
      share = 60
      max_concurrent = 400
      """;
  private static final String CALL =
      """
      [[models]]
      name = "reader"
      replicas = 2
      [calls.reading]
      model = "reader"
      deadline_ms = 5000
      repeatable = true
      class = "short"
      """;
  private static final String SOUND = "team = \"receipts\"\n" + WORKSPACE + CALL;

  private static TeamFile file(String text) {
    return TeamFileReader.read("team.toml", text).get();
  }

  private static Finding only(String text) {
    List<Finding> findings = ConfigurationRule.findings(TeamRules.warnings(), file(text));
    assertEquals(1, findings.size(), findings.toString());
    return findings.get(0);
  }

  @Nested
  class Sound {
    /** Guards against findings in a file without faults. */
    @Test
    void soundFileHasNoFindings() {
      assertEquals(List.of(), ConfigurationRule.findings(TeamRules.warnings(), file(SOUND)));
    }
  }

  @Nested
  class CallsWithoutWorkspaces {
    /** Guards against calls that nobody may make. */
    @Test
    void isReported() {
      Finding finding = only(SOUND.replace(WORKSPACE, ""));
      assertEquals(Kind.UNREACHABLE, finding.kind());
      assertEquals("calls.reading", finding.place());
    }
  }

  @Nested
  class UnusedModels {
    /** Guards against engines that hold a model without use. */
    @Test
    void isReported() {
      Finding finding = only(SOUND + "[[models]]\nname = \"spare\"\nreplicas = 3\n");
      assertEquals(Kind.UNREACHABLE, finding.kind());
      assertEquals("models spare", finding.place());
    }
  }

  @Nested
  class ConcurrencyBelowShares {
    /** Guards against a share that the call limit does not allow to use. */
    @Test
    void isReported() {
      Finding finding = only(SOUND.replace("max_concurrent = 400", "max_concurrent = 59"));
      assertEquals(Kind.CONTRADICTION, finding.kind());
      assertTrue(finding.found().contains("59 below share 60"), finding.found());
    }
  }

  @Nested
  class SharedNames {
    /** Guards against a publish that is refused because two files define one name. */
    @Test
    void teamsAndWorkspacesOfTwoFilesAreErrors() {
      List<NamedTeamFile> files =
          List.of(
              new NamedTeamFile("a.toml", file(SOUND)), new NamedTeamFile("b.toml", file(SOUND)));
      List<Finding> findings = ConfigurationRule.findings(TeamRules.errors(), files);
      assertEquals(
          List.of("team", "workspaces mart"), findings.stream().map(Finding::place).toList());
      assertTrue(findings.stream().allMatch(finding -> finding.file().equals("b.toml")));
    }
  }

  @Nested
  class Differences {
    /** Guards against differences that are missed. */
    @Test
    void changedValuesAreReported() {
      TeamFile next = file(SOUND.replace("share = 60", "share = 61").replace("= 5000", "= 6000"));
      assertEquals(
          List.of("share changed from 60 to 61", "deadline_ms changed from 5000 to 6000"),
          TeamComparison.differences(file(SOUND), next).stream().map(Finding::found).toList());
    }
  }
}
