package dev.caroblb.configcheck;

import java.util.List;

/**
 * A rule that a configuration should follow.
 *
 * @param <D> the parsed configuration
 */
@FunctionalInterface
public interface ConfigurationRule<D> {
  /** Returns a finding for each violation; empty if there is none. */
  List<Finding> findings(D document);

  /** Returns the findings of several rules in the order of the rules. */
  static <D> List<Finding> findings(List<ConfigurationRule<D>> rules, D document) {
    return rules.stream().flatMap(rule -> rule.findings(document).stream()).toList();
  }
}
