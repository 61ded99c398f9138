package dev.caroblb.configcheck.routes;

import dev.caroblb.configcheck.ConfigurationRule;
import java.util.List;

/** The rules for routing documents. */
public final class RoutingRules {
  private RoutingRules() {}

  /** Rules whose violation makes the instances refuse the document. */
  public static List<ConfigurationRule<RoutingDraft>> errors() {
    return List.of(new DuplicateService(), new DuplicateRoute(), new SharedKey());
  }

  /** Rules for documents without errors. */
  public static List<ConfigurationRule<RoutingDraft>> warnings() {
    return List.of(
        new HiddenRoute(),
        new UnmatchableRoute(),
        new ZeroWeight(),
        new UnusedService(),
        new KeylessWorkspace(),
        new RouteWithoutCallers(),
        new StreamSettings(),
        new ObjectiveAboveTimeout(),
        new PauseAboveObjective(),
        new AttemptsOfSingleRun(),
        new PartialWarmUp(),
        new EmptyEngine(),
        new EventAboveEngine(),
        new ConnectionLimit(),
        new CallerLimitValues());
  }
}
