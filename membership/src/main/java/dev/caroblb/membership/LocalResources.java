package dev.caroblb.membership;

import java.util.Optional;

/** Source of the resources that this instance reports. */
@FunctionalInterface
public interface LocalResources {
  /** The resources of an instance whose settings name no limits. */
  LocalResources UNKNOWN = nowMs -> Optional.empty();

  /** Returns the size of this instance and what is left of it; empty if that is not known. */
  Optional<InstanceResources> at(long nowMs);
}
