package dev.caroblb.targets;

import dev.caroblb.core.FailureDomain;
import dev.caroblb.core.SoftwareVersion;
import dev.caroblb.core.TargetId;
import dev.caroblb.core.TargetRun;

/**
 * Description of a target that accepts requests.
 *
 * @param id name of the target
 * @param incarnation identifies one run of the target; it changes at each restart
 * @param service the service it belongs to
 * @param address address for requests, {@code host:port}
 * @param domain its failure domain
 * @param softwareVersion version of the software that it runs
 */
public record TargetInfo(
    TargetId id,
    long incarnation,
    String service,
    String address,
    FailureDomain domain,
    SoftwareVersion softwareVersion) {
  /** A target that states no software version. */
  public TargetInfo(
      TargetId id, long incarnation, String service, String address, FailureDomain domain) {
    this(id, incarnation, service, address, domain, SoftwareVersion.UNSTATED);
  }

  public TargetRun run() {
    return new TargetRun(id, incarnation);
  }
}
