package dev.caroblb.evacuation;

import dev.caroblb.core.FailureDomain;
import java.util.HashSet;
import java.util.List;
import java.util.Set;

/**
 * The evacuated failure domains.
 *
 * @param revision number of changes so far; of two states, the one with the greater revision is
 *     newer
 * @param domains the failure domains to whose targets nothing is sent
 */
public record EvacuationState(long revision, Set<FailureDomain> domains) {
  /** The state before the first order. */
  public static final EvacuationState NONE = new EvacuationState(0, Set.of());

  public EvacuationState {
    domains = Set.copyOf(domains);
  }

  /** The state after an order; an order that changes nothing keeps the revision. */
  public EvacuationState after(EvacuationCommand command) {
    Set<FailureDomain> changed = new HashSet<>(domains);
    boolean effective =
        command instanceof EvacuationCommand.Begin
            ? changed.add(command.domain())
            : changed.remove(command.domain());
    return effective ? new EvacuationState(revision + 1, changed) : this;
  }

  public boolean newerThan(EvacuationState other) {
    return revision > other.revision;
  }

  /** The names of the domains in alphabetical order. */
  public List<String> names() {
    return domains.stream().map(FailureDomain::name).sorted().toList();
  }
}
