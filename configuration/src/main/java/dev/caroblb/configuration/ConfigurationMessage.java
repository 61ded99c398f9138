package dev.caroblb.configuration;

import dev.caroblb.core.InstanceId;
import dev.caroblb.core.LeaderLease;
import dev.caroblb.core.Outlet;

/** Input message of the configuration duty. */
public sealed interface ConfigurationMessage {
  /** A message from another instance. */
  record PeerReceived(InstanceId peer, PeerMessage message) implements ConfigurationMessage {}

  /** The leader of a consensus group, or its lease, changed. */
  record LeaseChanged(LeaderLease lease) implements ConfigurationMessage {}

  /** The local replicated state after a command was applied or a snapshot was restored. */
  record StateApplied(ConfigurationState state) implements ConfigurationMessage {}

  /** A proposal of this duty finished. */
  record CommandFinished(long proposal, CommandOutcome outcome) implements ConfigurationMessage {}

  /** A publisher that is connected to this instance sent a publish. */
  record PublishRequested(Publish publish, Outlet<PublishAnswer> reply)
      implements ConfigurationMessage {}
}
