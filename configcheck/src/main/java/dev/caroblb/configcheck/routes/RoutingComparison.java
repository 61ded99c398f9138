package dev.caroblb.configcheck.routes;

import dev.caroblb.configcheck.Comparison;
import dev.caroblb.configcheck.Finding;
import dev.caroblb.configcheck.Kind;
import dev.caroblb.configcheck.Setting;
import dev.caroblb.configcheck.Severity;
import dev.caroblb.routing.CallerLimits;
import dev.caroblb.routing.EngineLimits;
import dev.caroblb.routing.Route;
import dev.caroblb.routing.Service;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;

/** Compares a routing document with the one in force. */
public final class RoutingComparison {
  private RoutingComparison() {}

  /** Returns the differences; one of them is an error if the number is not above the other. */
  public static List<Finding> differences(RoutingDraft inForce, RoutingDraft next) {
    List<Finding> findings = new ArrayList<>();
    findings.add(number(inForce.number(), next.number()));
    findings.addAll(Comparison.differences(entries(inForce), entries(next)));
    return findings;
  }

  /** Instances acknowledge a document whose number is not above the one in force and ignore it. */
  private static Finding number(long inForce, long next) {
    if (next > inForce) {
      return Finding.difference(Places.DOCUMENT, "number " + next + ", above " + inForce);
    }
    return new Finding(
        Kind.DIFFERENCE,
        Severity.ERROR,
        "",
        Places.DOCUMENT,
        "number " + next + ", not above " + inForce + ", which is in force",
        "use a number above " + inForce);
  }

  private static Map<String, List<Setting>> entries(RoutingDraft document) {
    Map<String, List<Setting>> entries = new LinkedHashMap<>();
    for (Route route : document.routes()) {
      entries.put("route of " + route.host() + route.prefix(), settings(route));
    }
    for (ServiceDraft service : document.services()) {
      entries.put(Places.of(service), settings(service));
    }
    for (WorkspaceDraft workspace : document.workspaces().orElse(List.of())) {
      entries.put(Places.of(workspace), settings(workspace));
    }
    entries.put(Places.LIMITS, settings(document.limits()));
    entries.put(
        Places.DOCUMENT, List.of(Setting.of("requires keys", document.workspaces().isPresent())));
    return entries;
  }

  private static List<Setting> settings(Route route) {
    return List.of(
        Setting.of("name", route.name()),
        Setting.of("type", route.repeat()),
        Setting.of("timeout", route.timeoutMs()),
        Setting.of("objective", route.objectiveMs()),
        Setting.of("pause objective", route.eventGapObjectiveMs()),
        Setting.of("priority", route.priority()),
        Setting.of("services", route.services()),
        Setting.of("attempts", route.maxAttempts()),
        Setting.of("serves without keys", route.keyless()),
        Setting.of("prefix locality", route.prefixLocality()),
        Setting.of("resumable", route.resumable()));
  }

  private static List<Setting> settings(ServiceDraft draft) {
    Service service = draft.service();
    Optional<EngineLimits> engine = service.engine();
    return List.of(
        Setting.of("connections", service.maxConnections()),
        Setting.of("engine", engine.map(EngineLimits::toString).orElse("none")),
        Setting.of("warm-up duration in s", draft.coldSeconds()),
        Setting.of("warm-up rate per s", draft.coldPerSecond()));
  }

  /** Keys are secret, so only their number is shown. */
  private static List<Setting> settings(WorkspaceDraft draft) {
    Set<String> keys = Set.copyOf(draft.keys());
    return List.of(
        Setting.of(
            "priority", draft.workspace().priority().map(String::valueOf).orElse("of the route")),
        new Setting("keys", keys, keys.size() + " keys"));
  }

  private static List<Setting> settings(CallerLimits limits) {
    return List.of(
        Setting.of("maximum of heads in bytes", limits.maxHeaderBytes()),
        Setting.of("maximum of bodies in bytes", limits.maxBodyBytes()),
        Setting.of("timeout of heads", limits.headerTimeoutMs()),
        Setting.of("idle timeout", limits.idleTimeoutMs()));
  }
}
