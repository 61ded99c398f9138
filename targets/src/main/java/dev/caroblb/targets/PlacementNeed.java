package dev.caroblb.targets;

import dev.caroblb.core.FailureDomain;
import dev.caroblb.core.SoftwareVersion;
import dev.caroblb.core.TargetId;
import java.util.HashSet;
import java.util.Optional;
import java.util.Set;

/**
 * Requirements for the target of a request.
 *
 * @param purpose purpose of the placement
 * @param service the service that the request goes to
 * @param tokens tokens that it is expected to hold in memory when it ends; 0 if not a generation
 * @param promptTokens tokens of its prompt, which need prefill
 * @param excluded targets that must not be chosen
 * @param preferredDomain failure domain whose targets are preferred
 * @param wantsBackup whether a second engine should get a copy of its memory
 * @param priority priority of the request; 0 is the highest
 * @param objectiveMs time in milliseconds that is left to meet the latency objective
 * @param workspace workspace of the caller, if known
 * @param fingerprint digest of the request, equal for its repetitions; at most {@link
 *     #MAX_FINGERPRINT_LENGTH} characters
 * @param sinceArrivalMs time in milliseconds since the request arrived at its entry
 * @param usefulMs time in milliseconds for which a first event is still of use to the caller
 * @param leftMs time in milliseconds until the caller's deadline
 * @param eventGapObjectiveMs objective in milliseconds for the time between two events; 0 if none
 * @param softwareVersion the only version of targets that may be chosen, for a stream that began or
 *     memory that is copied; empty if any may
 */
public record PlacementNeed(
    Purpose purpose,
    String service,
    long tokens,
    long promptTokens,
    Set<TargetId> excluded,
    FailureDomain preferredDomain,
    boolean wantsBackup,
    int priority,
    long objectiveMs,
    Optional<String> workspace,
    Optional<String> fingerprint,
    long sinceArrivalMs,
    long usefulMs,
    long leftMs,
    long eventGapObjectiveMs,
    Optional<SoftwareVersion> softwareVersion) {
  /** Maximum length of a fingerprint in characters; keeps messages small. */
  public static final int MAX_FINGERPRINT_LENGTH = 64;

  /** Minimum time in milliseconds without an event after which callers abandon a stream. */
  private static final long MIN_ABANDON_MS = 2_000;

  /** Callers abandon a stream after this number of latency objectives without an event. */
  private static final long ABANDON_OBJECTIVES = 4;

  /** Purpose of a placement. */
  public enum Purpose {
    /** The request starts there; it can be queued until there is room. */
    START,
    /** A running generation moves there; it cannot be queued. */
    MOVE,
    /** The request needs a permit for a limited target; it cannot be queued. */
    PERMIT
  }

  /** The same without an objective for the time between two events. */
  public PlacementNeed(
      Purpose purpose,
      String service,
      long tokens,
      long promptTokens,
      Set<TargetId> excluded,
      FailureDomain preferredDomain,
      boolean wantsBackup,
      int priority,
      long objectiveMs) {
    this(
        purpose,
        service,
        tokens,
        promptTokens,
        excluded,
        preferredDomain,
        wantsBackup,
        priority,
        objectiveMs,
        0);
  }

  /** Requirements of a request that just arrived from an unknown workspace. */
  public PlacementNeed(
      Purpose purpose,
      String service,
      long tokens,
      long promptTokens,
      Set<TargetId> excluded,
      FailureDomain preferredDomain,
      boolean wantsBackup,
      int priority,
      long objectiveMs,
      long eventGapObjectiveMs) {
    this(
        purpose,
        service,
        tokens,
        promptTokens,
        excluded,
        preferredDomain,
        wantsBackup,
        priority,
        objectiveMs,
        Optional.empty(),
        Optional.empty(),
        0,
        Math.max(MIN_ABANDON_MS, ABANDON_OBJECTIVES * objectiveMs),
        Math.max(MIN_ABANDON_MS, ABANDON_OBJECTIVES * objectiveMs),
        eventGapObjectiveMs,
        Optional.empty());
  }

  /** Returns the same requirements with additional excluded targets. */
  public PlacementNeed excluding(Set<TargetId> more) {
    Set<TargetId> all = new HashSet<>(excluded);
    all.addAll(more);
    return with(all, softwareVersion);
  }

  /** Returns the same requirements without excluded targets. */
  public PlacementNeed withoutExclusions() {
    return with(Set.of(), softwareVersion);
  }

  /** Returns the same requirements for targets of one software version only. */
  public PlacementNeed at(SoftwareVersion version) {
    return with(excluded, Optional.of(version));
  }

  private PlacementNeed with(Set<TargetId> excludedTargets, Optional<SoftwareVersion> version) {
    return new PlacementNeed(
        purpose,
        service,
        tokens,
        promptTokens,
        excludedTargets,
        preferredDomain,
        wantsBackup,
        priority,
        objectiveMs,
        workspace,
        fingerprint,
        sinceArrivalMs,
        usefulMs,
        leftMs,
        eventGapObjectiveMs,
        version);
  }

  /** Whether a target is of the service and of the software version that are needed. */
  public boolean fits(TargetInfo target) {
    return target.service().equals(service)
        && softwareVersion.filter(version -> !version.equals(target.softwareVersion())).isEmpty();
  }

  public PlacementNeed {
    excluded = Set.copyOf(excluded);
  }
}
