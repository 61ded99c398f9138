package dev.caroblb.pacing;

import dev.caroblb.core.FailureDomain;
import dev.caroblb.core.TargetRun;
import dev.caroblb.routing.WarmUp;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;

/** The targets that are cold, and the rates that their services tolerate meanwhile. */
public final class WarmUps implements RateSource {
  /** Maximum warm-up in milliseconds; a longer one is limited to this. */
  private static final long MAX_LEFT_MS = 600_000;

  /**
   * Time in milliseconds for which an observation is kept, so that an older one that arrives late
   * has no effect.
   */
  private static final long KEPT_MS = 600_000;

  /**
   * Difference in milliseconds from which another end of a warm-up is news for other instances.
   * Observations of the same end differ by the time that messages take.
   */
  private static final long NEWS_MS = 300;

  private record Member(String service, FailureDomain domain) {}

  /** Sequence of the announcement of a target that has not announced itself. */
  private static final long NO_SEQUENCE = -1;

  /**
   * What is known last of a target.
   *
   * @param sequence number of its latest announcement
   * @param announced whether the observation is that announcement
   */
  private record Observation(long untilMs, long atMs, long sequence, boolean announced) {}

  private final Map<TargetRun, Member> members = new HashMap<>();
  private final Map<TargetRun, Observation> latest = new HashMap<>();
  private Map<String, WarmUp> warmUps = Map.of();

  /** Sets the warm-up of each service that names one. */
  void setWarmUps(Map<String, WarmUp> byService) {
    warmUps = Map.copyOf(byService);
  }

  /** Records the service and the failure domain of a run of a target. */
  void member(TargetRun run, String service, FailureDomain domain) {
    members.put(run, new Member(service, domain));
  }

  /** The warm-up that the service of a target names. */
  Optional<WarmUp> warmUp(TargetRun run) {
    return Optional.ofNullable(members.get(run)).map(member -> warmUps.get(member.service()));
  }

  /**
   * Records what a target announced, unless a later announcement or observation is known. Among
   * announcements their numbers decide: the age of one is an upper bound, which may make a later
   * one appear older.
   */
  void announced(TargetRun run, AnnouncedWarmUp announcement, long nowMs) {
    Observation known = latest.get(run);
    if (known != null && announcement.sequence() <= known.sequence()) {
      return;
    }
    long atMs = nowMs - announcement.ageMs();
    boolean older = known != null && !known.announced() && known.atMs() >= atMs;
    latest.put(
        run,
        older
            ? new Observation(known.untilMs(), known.atMs(), announcement.sequence(), false)
            : observation(announcement.leftThenMs(), atMs, announcement.sequence(), true));
  }

  private static Observation observation(long leftMs, long atMs, long sequence, boolean announced) {
    return new Observation(atMs + Math.min(leftMs, MAX_LEFT_MS), atMs, sequence, announced);
  }

  /**
   * Records how long a target stays cold by a response or by another instance, unless a later
   * observation is known; returns whether this is news.
   *
   * @param leftMs time in milliseconds from the observation to the end of the warm-up; 0 if the
   *     target is warm
   * @param atMs time of the observation
   */
  boolean observed(TargetRun run, long leftMs, long atMs, long nowMs) {
    Observation known = latest.get(run);
    if (known != null && known.atMs() >= atMs) {
      return false;
    }
    long sequence = known == null ? NO_SEQUENCE : known.sequence();
    Observation now = observation(leftMs, atMs, sequence, false);
    latest.put(run, now);
    long beforeMs = known == null ? nowMs : Math.max(nowMs, known.untilMs());
    return Math.abs(Math.max(nowMs, now.untilMs()) - beforeMs) >= NEWS_MS;
  }

  /** Adds a statement that another instance passed on; returns whether it is news. */
  boolean received(WarmUpStatement statement, long nowMs) {
    return statement.valid()
        && observed(statement.run(), statement.leftMs(), nowMs - statement.ageMs(), nowMs);
  }

  /**
   * Takes the targets of a failure domain for cold until they say otherwise, for the time that
   * their service names; returns those whose service names one.
   */
  List<TargetRun> warmingAgain(FailureDomain domain, long nowMs) {
    List<TargetRun> warming = new ArrayList<>();
    members.forEach(
        (run, member) -> {
          WarmUp warmUp = warmUps.get(member.service());
          if (member.domain().equals(domain) && warmUp != null) {
            long sequence =
                Optional.ofNullable(latest.get(run)).map(Observation::sequence).orElse(NO_SEQUENCE);
            latest.put(run, observation(warmUp.durationMs(), nowMs, sequence, false));
            warming.add(run);
          }
        });
    return warming;
  }

  /** Whether a target is cold and its service names a rate for cold targets. */
  boolean cold(TargetRun run, long nowMs) {
    if (warmUps.isEmpty()) {
      return false;
    }
    Observation observation = latest.get(run);
    return observation != null && nowMs < observation.untilMs() && warmUp(run).isPresent();
  }

  @Override
  public Optional<Double> perSecond(TargetRun run, long nowMs) {
    return cold(run, nowMs) ? warmUp(run).map(WarmUp::perSecond) : Optional.empty();
  }

  @Override
  public boolean limitsAny(long nowMs) {
    return count(nowMs) > 0;
  }

  /** Number of targets that are cold. */
  long count(long nowMs) {
    return warmUps.isEmpty() ? 0 : latest.keySet().stream().filter(run -> cold(run, nowMs)).count();
  }

  /** The latest observation of a target that is still cold by it. */
  Optional<WarmUpStatement> statement(TargetRun run, long nowMs) {
    return Optional.ofNullable(latest.get(run))
        .filter(observation -> nowMs < observation.untilMs())
        .map(
            observation ->
                new WarmUpStatement(
                    run,
                    observation.untilMs() - observation.atMs(),
                    Math.max(0, nowMs - observation.atMs())));
  }

  /** The latest observations of all targets that are still cold by them. */
  List<WarmUpStatement> statements(long nowMs) {
    List<WarmUpStatement> statements = new ArrayList<>();
    latest.keySet().forEach(run -> statement(run, nowMs).ifPresent(statements::add));
    return statements;
  }

  @Override
  public void expire(long nowMs) {
    latest
        .values()
        .removeIf(
            observation -> nowMs >= observation.untilMs() && nowMs - observation.atMs() >= KEPT_MS);
  }

  @Override
  public void forget(TargetRun run) {
    latest.remove(run);
    members.remove(run);
  }
}
