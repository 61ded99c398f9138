package dev.caroblb.configcheck.routes;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import dev.caroblb.configcheck.ConfigurationRule;
import dev.caroblb.configcheck.Finding;
import dev.caroblb.configcheck.Kind;
import dev.caroblb.configcheck.Severity;
import dev.caroblb.routing.CallerLimits;
import dev.caroblb.routing.EngineLimits;
import dev.caroblb.routing.RepeatRule;
import dev.caroblb.routing.WeightedService;
import java.util.List;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;

class RoutingRulesTest {
  private final DraftFields fields = new DraftFields();

  /** All rules are applied, so that the document has exactly one fault. */
  private void assertOnly(Kind kind, String place, String found) {
    List<Finding> findings = ConfigurationRule.findings(RoutingRules.errors(), fields.draft());
    if (findings.isEmpty()) {
      findings = ConfigurationRule.findings(RoutingRules.warnings(), fields.draft());
    }
    assertEquals(1, findings.size(), findings.toString());
    Finding finding = findings.get(0);
    assertEquals(kind, finding.kind());
    assertEquals(place, finding.place());
    assertTrue(finding.found().contains(found), finding.found());
    assertTrue(!finding.remedy().isEmpty(), "no remedy");
  }

  @Nested
  class Sound {
    /** Guards against findings in a document without faults. */
    @Test
    void soundDocumentHasNoFindings() {
      RoutingDraft draft = fields.draft();
      assertEquals(List.of(), ConfigurationRule.findings(RoutingRules.errors(), draft));
      assertEquals(List.of(), ConfigurationRule.findings(RoutingRules.warnings(), draft));
    }
  }

  @Nested
  class Duplicates {
    /** Guards against two routes of which the instances refuse the second. */
    @Test
    void routes() {
      fields.secondPrefix = "/a/";
      assertOnly(Kind.ERROR, "route b", "prefix /a/ of route a");
    }

    /** Guards against two definitions of a service. */
    @Test
    void services() {
      fields.secondService = "model";
      assertOnly(Kind.ERROR, "service model", "a second definition");
    }

    /** Guards against a key of two workspaces, and against a key that is shown. */
    @Test
    void keys() {
      fields.workspaces =
          List.of(DraftFields.workspace("farm", "k1"), DraftFields.workspace("shop", "k1"));
      assertOnly(Kind.ERROR, "workspace shop", "an API key of workspace farm");
    }
  }

  @Nested
  class UnusedServices {
    /** Guards against a service that gets no requests. */
    @Test
    void isReported() {
      fields.secondService = "other";
      assertOnly(Kind.UNREACHABLE, "service other", "no route that uses it");
    }
  }

  @Nested
  class HiddenRoutes {
    /** Guards against routes that differ only in their spelling. */
    @Test
    void isReported() {
      fields.secondPrefix = "/x/../%61//";
      assertOnly(Kind.UNREACHABLE, "route b", "those of route a");
    }
  }

  @Nested
  class UnmatchableRoutes {
    /** Guards against prefixes that no request can have. */
    @Test
    void isReported() {
      fields.prefix = "/a b/";
      assertOnly(Kind.UNREACHABLE, "route a", "prefix /a b/");
    }
  }

  @Nested
  class UnmatchableHosts {
    /** Guards against hosts that no request can have. */
    @Test
    void isReported() {
      fields.host = "http://h.example";
      assertOnly(Kind.UNREACHABLE, "route a", "host http://h.example");
    }
  }

  @Nested
  class ZeroWeights {
    /** Guards against a service that is left out of a route by its weight. */
    @Test
    void isReported() {
      fields.services = List.of(new WeightedService("model", 1), new WeightedService("app", 0));
      assertOnly(Kind.UNREACHABLE, "route a", "weight 0 of service app");
    }
  }

  @Nested
  class KeylessWorkspaces {
    /** Guards against a workspace whose requests are all refused. */
    @Test
    void isReported() {
      fields.workspaces =
          List.of(DraftFields.workspace("farm", "k1"), DraftFields.workspace("shop"));
      assertOnly(Kind.UNREACHABLE, "workspace shop", "no API key");
    }
  }

  @Nested
  class RoutesWithoutCallers {
    /** Guards against a route that refuses everybody. */
    @Test
    void isReported() {
      fields.workspaces = List.of();
      assertOnly(Kind.UNREACHABLE, "route a", "no workspace with a key");
    }
  }

  @Nested
  class StreamSettingsOfPlainRoutes {
    /** Guards against a pause objective that is never applied. */
    @Test
    void isReported() {
      fields.repeat = RepeatRule.REPEATABLE;
      fields.resumable = false;
      assertOnly(Kind.UNREACHABLE, "route a", "pause objective");
    }
  }

  @Nested
  class ObjectivesAboveTimeouts {
    /** Guards against an objective that is always met. */
    @Test
    void isReported() {
      fields.objectiveMs = 6_001;
      assertOnly(Kind.CONTRADICTION, "route a", "above timeout 6000 ms");
    }
  }

  @Nested
  class PausesAboveObjectives {
    /** Guards against a pause objective longer than that of the first event. */
    @Test
    void isReported() {
      fields.pauseMs = 1_501;
      assertOnly(Kind.CONTRADICTION, "route a", "pause objective 1501 ms");
    }
  }

  @Nested
  class AttemptsOfSingleRuns {
    /** Guards against attempts that are never made. */
    @Test
    void isReported() {
      fields.resumable = false;
      assertOnly(Kind.CONTRADICTION, "route a", "2 attempts");
    }
  }

  @Nested
  class WarmUpsWithoutRate {
    /** Guards against a warm-up that is ignored for want of a rate. */
    @Test
    void isReported() {
      fields.coldPerSecond = 0;
      assertOnly(Kind.CONTRADICTION, "service model", "without a rate");
    }
  }

  @Nested
  class WarmUpsWithoutDuration {
    /** Guards against a warm-up that is ignored for want of a duration. */
    @Test
    void isReported() {
      fields.coldSeconds = 0;
      assertOnly(Kind.CONTRADICTION, "service model", "without a duration");
    }
  }

  @Nested
  class EnginesWithoutSlots {
    /** Guards against engines that run nothing. */
    @Test
    void isReported() {
      fields.engine = new EngineLimits(0, 26_882, true, true, 4);
      assertOnly(Kind.CONTRADICTION, "service model", "0 slots");
    }
  }

  @Nested
  class EnginesWithoutMemory {
    /** Guards against engines that hold nothing. */
    @Test
    void isReported() {
      fields.engine = new EngineLimits(24, 0, true, true, 4);
      assertOnly(Kind.CONTRADICTION, "service model", "memory for 0 tokens");
    }
  }

  @Nested
  class EventsAboveEngines {
    /** Guards against events that no engine can hold. */
    @Test
    void isReported() {
      fields.engine = new EngineLimits(24, 3, true, true, 4);
      assertOnly(Kind.CONTRADICTION, "service model", "events of 4 tokens");
    }
  }

  @Nested
  class Connections {
    /** Guards against slots that stay empty for want of connections. */
    @Test
    void isReported() {
      fields.connections = 23;
      assertOnly(Kind.CONTRADICTION, "service model", "23 connections");
    }
  }

  @Nested
  class NoConnections {
    /** Guards against targets that may not be connected to. */
    @Test
    void isReported() {
      fields.connections = 0;
      assertOnly(Kind.CONTRADICTION, "service model", "0 connections");
    }
  }

  @Nested
  class HeadTimeouts {
    /** Guards against a timeout of heads that the idle timeout ends first. */
    @Test
    void isReported() {
      fields.limits = new CallerLimits(16_384, 4_096, 3_000, 2_999);
      assertOnly(Kind.CONTRADICTION, "limits of callers", "above the idle timeout");
    }
  }

  @Nested
  class ZeroTimeouts {
    /** Guards against a timeout of 0 that is replaced. */
    @Test
    void isReported() {
      fields.limits = new CallerLimits(16_384, 4_096, 3_000, 0);
      assertOnly(Kind.UNREACHABLE, "limits of callers", "timeout of 0 ms");
    }
  }

  @Nested
  class ZeroHeads {
    /** Guards against limits that refuse every request. */
    @Test
    void isReported() {
      fields.limits = new CallerLimits(0, 4_096, 3_000, 15_000);
      assertOnly(Kind.CONTRADICTION, "limits of callers", "0 bytes for heads");
    }
  }

  @Nested
  class ZeroBodies {
    /** Guards against limits that refuse every body. */
    @Test
    void isReported() {
      fields.limits = new CallerLimits(16_384, 0, 3_000, 15_000);
      assertOnly(Kind.CONTRADICTION, "limits of callers", "0 bytes for bodies");
    }
  }

  @Nested
  class LongBodies {
    /** Guards against a limit of bodies that is not in effect. */
    @Test
    void isReported() {
      fields.limits = new CallerLimits(16_384, (4 << 20) + 1, 3_000, 15_000);
      assertOnly(Kind.UNREACHABLE, "limits of callers", "bytes for bodies");
    }
  }

  @Nested
  class Differences {
    private List<Finding> after(long number) {
      RoutingDraft inForce = fields.draft();
      fields.number = number;
      fields.timeoutMs = 7_000;
      fields.secondPrefix = "/c/";
      fields.workspaces = List.of(DraftFields.workspace("farm", "k9"));
      return RoutingComparison.differences(inForce, fields.draft());
    }

    /** Guards against differences that are missed, and against keys that are shown. */
    @Test
    void addedRemovedAndChangedEntriesAreReported() {
      List<String> found =
          after(8).stream().map(finding -> finding.place() + ": " + finding.found()).toList();
      assertEquals(
          List.of(
              "document: number 8, above 7",
              "route of h.example/b/: removed",
              "workspace clerks: removed",
              "route of h.example/a/: timeout changed from 6000 to 7000",
              "route of h.example/c/: added",
              "workspace farm: keys changed (1 keys)"),
          found);
    }

    /** Guards against a document that instances acknowledge and ignore. */
    @Test
    void aNumberThatIsNotAboveIsAnError() {
      Finding number = after(7).get(0);
      assertEquals(Kind.DIFFERENCE, number.kind());
      assertEquals(Severity.ERROR, number.severity());
    }
  }
}
