package dev.caroblb.configcheck.routes;

import dev.caroblb.routing.CallerLimits;
import dev.caroblb.routing.EngineLimits;
import dev.caroblb.routing.RepeatRule;
import dev.caroblb.routing.Route;
import dev.caroblb.routing.Service;
import dev.caroblb.routing.WeightedService;
import dev.caroblb.routing.Workspace;
import java.util.List;
import java.util.Optional;

/** A sound draft with two routes; tests change the fields of the first route and other values. */
final class DraftFields {
  long number = 7;
  String host = "h.example";
  String prefix = "/a/";
  RepeatRule repeat = RepeatRule.STREAM;
  long timeoutMs = 6_000;
  long objectiveMs = 1_500;
  List<WeightedService> services = List.of(new WeightedService("model", 1));
  int maxAttempts = 2;
  boolean resumable = true;
  long pauseMs = 180;
  String secondPrefix = "/b/";
  boolean secondKeyless = true;
  String secondService = "app";
  int connections = 252;
  EngineLimits engine = new EngineLimits(24, 26_882, true, true, 4);
  double coldSeconds = 8;
  double coldPerSecond = 2;
  CallerLimits limits = CallerLimits.DEFAULTS;
  List<WorkspaceDraft> workspaces =
      List.of(workspace("farm", "k1"), workspace("clerks", "k2", "k3"));

  static WorkspaceDraft workspace(String name, String... keys) {
    return new WorkspaceDraft(new Workspace(name, Optional.empty()), List.of(keys));
  }

  RoutingDraft draft() {
    Route first =
        new Route(
            "a",
            host,
            prefix,
            repeat,
            timeoutMs,
            objectiveMs,
            1,
            services,
            maxAttempts,
            false,
            true,
            resumable,
            pauseMs);
    Route second =
        new Route(
            "b",
            "h.example",
            secondPrefix,
            RepeatRule.ONCE,
            1_200,
            196,
            0,
            List.of(new WeightedService("app", 1)),
            1,
            secondKeyless,
            false,
            false,
            0);
    return new RoutingDraft(
        number,
        List.of(first, second),
        List.of(
            new ServiceDraft(
                new Service("model", connections, Optional.of(engine)), coldSeconds, coldPerSecond),
            new ServiceDraft(new Service(secondService, 110, Optional.empty()), 0, 0)),
        limits,
        Optional.of(workspaces));
  }
}
