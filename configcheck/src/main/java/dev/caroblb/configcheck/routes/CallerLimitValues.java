package dev.caroblb.configcheck.routes;

import dev.caroblb.configcheck.ConfigurationRule;
import dev.caroblb.configcheck.Finding;
import dev.caroblb.routing.CallerLimits;
import java.util.ArrayList;
import java.util.List;

/**
 * Limits of callers that reject all requests or have no effect. The idle limit does not run while a
 * caller waits for its response, and the limit of heads ends with the head; so neither of them is
 * compared with the timeouts of routes.
 */
final class CallerLimitValues implements ConfigurationRule<RoutingDraft> {
  @Override
  public List<Finding> findings(RoutingDraft document) {
    CallerLimits limits = document.limits();
    List<Finding> findings = new ArrayList<>();
    if (limits.maxHeaderBytes() == 0) {
      findings.add(
          contradiction("a maximum of 0 bytes for heads", "allow the size of usual heads"));
    }
    if (limits.maxBodyBytes() == 0) {
      findings.add(contradiction("a maximum of 0 bytes for bodies", "allow the size of bodies"));
    }
    if (limits.maxBodyBytes() > CallerLimits.DEFAULTS.maxBodyBytes()) {
      findings.add(
          unreachable(
              "a maximum of " + limits.maxBodyBytes() + " bytes for bodies",
              "set at most " + CallerLimits.DEFAULTS.maxBodyBytes() + ", which instances enforce"));
    }
    if (limits.headerTimeoutMs() == 0 || limits.idleTimeoutMs() == 0) {
      findings.add(
          unreachable(
              "a timeout of 0 ms, for which instances use their default",
              "set a timeout above 0 or leave it out"));
    } else if (limits.headerTimeoutMs() > limits.idleTimeoutMs()) {
      findings.add(
          contradiction(
              "a timeout of "
                  + limits.headerTimeoutMs()
                  + " ms for heads above the idle timeout of "
                  + limits.idleTimeoutMs()
                  + " ms",
              "lower the timeout of heads or raise the idle timeout"));
    }
    return findings;
  }

  private static Finding contradiction(String found, String remedy) {
    return Finding.contradiction(Places.LIMITS, found, remedy);
  }

  private static Finding unreachable(String found, String remedy) {
    return Finding.unreachable(Places.LIMITS, found, remedy);
  }
}
