package dev.caroblb.placement;

import dev.caroblb.core.FailureDomain;
import dev.caroblb.core.TargetId;
import java.util.List;
import java.util.Optional;

/**
 * Membership state of a target and its latest load report.
 *
 * @param target name of the target
 * @param incarnation identity of its process; a larger one replaces a smaller one
 * @param domain failure domain
 * @param address address to which calls are sent
 * @param serves models (as written by {@code ModelId.toString}) or services it serves
 * @param state whether it may receive new work
 * @param load latest load report, absent before the first one
 */
public record TargetView(
    TargetId target,
    long incarnation,
    FailureDomain domain,
    String address,
    List<String> serves,
    TargetState state,
    Optional<LoadReport> load) {}
