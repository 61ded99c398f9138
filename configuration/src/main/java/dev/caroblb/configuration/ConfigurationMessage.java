package dev.caroblb.configuration;

import dev.caroblb.core.InstanceId;
import dev.caroblb.core.LeaderLease;
import dev.caroblb.core.Outlet;

/** Message to the configuration duty. */
public sealed interface ConfigurationMessage {
  /** A message from another instance. */
  record PeerReceived(InstanceId peer, PeerMessage message) implements ConfigurationMessage {}

  /** News about the leader of a consensus group. */
  record LeaseChanged(LeaderLease lease) implements ConfigurationMessage {}

  /** The replicated state of this instance changed. */
  record StateApplied(ConfigurationState state) implements ConfigurationMessage {}

  /** Outcome of a proposal of this duty. */
  record CommandFinished(long proposal, CommandOutcome outcome) implements ConfigurationMessage {}

  /** A publish from a publisher that is connected to this instance. */
  record PublishRequested(Publish publish, Outlet<PublishAnswer> reply)
      implements ConfigurationMessage {}
}
