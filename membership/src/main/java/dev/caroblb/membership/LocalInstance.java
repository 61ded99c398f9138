package dev.caroblb.membership;

import dev.caroblb.core.FailureDomain;
import dev.caroblb.core.InstanceId;

/**
 * Properties of this instance that it reports to the others.
 *
 * @param id name of the instance
 * @param incarnation identity of this run, larger than that of every earlier run
 * @param domain failure domain from the settings
 * @param address address that callers connect to, {@code host:port}; empty if the instance is not
 *     an entry
 * @param resources source of the resources that it reports
 */
public record LocalInstance(
    InstanceId id,
    long incarnation,
    FailureDomain domain,
    String address,
    LocalResources resources) {
  /** An instance that reports no resources. */
  public LocalInstance(InstanceId id, long incarnation, FailureDomain domain, String address) {
    this(id, incarnation, domain, address, LocalResources.UNKNOWN);
  }
}
