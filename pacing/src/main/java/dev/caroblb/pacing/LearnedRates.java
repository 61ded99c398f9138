package dev.caroblb.pacing;

import dev.caroblb.core.LogLine;
import dev.caroblb.core.TargetRun;
import dev.caroblb.routing.WarmUp;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.Iterator;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.function.Predicate;

/**
 * Rates of targets that have just started or recovered, found by the control instance from what all
 * instances report about their requests. Only targets of services that name a warm-up are paced;
 * the rate of a cold target is the first rate.
 */
public final class LearnedRates implements RateSource {
  private static final System.Logger LOGGER = System.getLogger(LearnedRates.class.getName());

  /**
   * Time in milliseconds from the first target on in which targets count as known before: an
   * instance that starts learns of all of them.
   */
  private static final long STARTUP_MS = 10_000;

  /** Time in milliseconds for which runs that are not heard of count as known. */
  private static final long SEEN_KEPT_MS = 600_000;

  /** Time in milliseconds after the end of a search in which failures count as a relapse. */
  private static final long RELAPSE_MS = 30_000;

  /** Time in milliseconds for which a target must take all requests; doubled by each relapse. */
  private static final long SATISFIED_MS = 1_000;

  private static final int MAX_RELAPSES = 4;

  /** Factor between two logged rates of a target, so that small steps write no lines. */
  private static final double LOGGED_FACTOR = 2;

  /** Maximum number of targets that are paced; an announcement names all of them. */
  private static final int MAX_PACED = LimitStatement.MAX_STATEMENTS;

  /** An ended or running search: how often the target relapsed, and when it ended last. */
  private record History(int relapses, long endedMs) {}

  private final Map<TargetRun, PaceSearch> searches = new HashMap<>();
  private final Map<TargetRun, Double> loggedRates = new HashMap<>();
  private final Map<TargetRun, FailureWindow> failures = new HashMap<>();
  private final Map<TargetRun, History> histories = new HashMap<>();
  private final Map<TargetRun, Long> seenMs = new HashMap<>();
  private final Map<TargetRun, String> services = new HashMap<>();
  private Map<String, WarmUp> warmUps = Map.of();
  private Optional<Long> firstMs = Optional.empty();

  /** Sets the warm-up of each service that names one. */
  void setWarmUps(Map<String, WarmUp> byService) {
    warmUps = Map.copyOf(byService);
    searches.keySet().removeIf(run -> services.containsKey(run) && firstRate(run).isEmpty());
  }

  private Optional<Double> firstRate(TargetRun run) {
    return Optional.ofNullable(services.get(run)).map(warmUps::get).map(WarmUp::perSecond);
  }

  /** Records that a target is available; paces it if it has started during operation. */
  void available(TargetRun run, String service, long nowMs) {
    firstMs = Optional.of(firstMs.orElse(nowMs));
    services.put(run, service);
    boolean known = seenMs.put(run, nowMs) != null;
    if (!known && nowMs - firstMs.get() >= STARTUP_MS) {
      start(run, "started", nowMs);
    }
  }

  /** Paces a target that recovers, for example after the evacuation of its domain. */
  void recovering(TargetRun run, String cause, long nowMs) {
    start(run, cause, nowMs);
  }

  private void start(TargetRun run, String cause, long nowMs) {
    Optional<Double> first = firstRate(run);
    if (first.isEmpty() || searches.containsKey(run) || searches.size() >= MAX_PACED) {
      return;
    }
    Optional<History> before =
        Optional.ofNullable(histories.get(run))
            .filter(history -> nowMs - history.endedMs() < RELAPSE_MS);
    int relapses = before.map(history -> Math.min(MAX_RELAPSES, history.relapses() + 1)).orElse(0);
    histories.put(run, new History(relapses, nowMs));
    long satisfiedMs = SATISFIED_MS << relapses;
    searches.put(run, new PaceSearch(first.get(), first.get(), relapses > 0, satisfiedMs, nowMs));
    log(run, cause, String.valueOf(first.get()));
  }

  /** Adds what happened to requests of an instance. */
  void add(RunOutcomes outcomes, long nowMs) {
    TargetRun run = outcomes.run();
    if (!outcomes.valid() || firstRate(run).isEmpty()) {
      return;
    }
    PaceSearch search = searches.get(run);
    if (search != null) {
      search.add(outcomes);
    } else if (failures
        .computeIfAbsent(run, key -> new FailureWindow(nowMs))
        .add(outcomes, nowMs)) {
      failures.remove(run);
      start(run, "failing", nowMs);
    }
  }

  /** Continues a search of another control instance, whose rate an instance knows. */
  void adopt(LimitStatement statement, long nowMs) {
    TargetRun run = statement.run();
    Optional<Double> first = firstRate(run);
    boolean unknown =
        first.isPresent() && !searches.containsKey(run) && searches.size() < MAX_PACED;
    if (!unknown || !statement.valid() || statement.perSecond().isEmpty()) {
      return;
    }
    double rate = Math.min(statement.perSecond().get(), 1_000 * first.get());
    searches.put(run, new PaceSearch(first.get(), rate, true, SATISFIED_MS, nowMs));
    log(run, "adopted", String.valueOf(rate));
  }

  /** Records that a request could not be sent to a target because of its rate. */
  void denied(TargetRun run) {
    PaceSearch search = searches.get(run);
    if (search != null) {
      search.denied();
    }
  }

  /**
   * Adjusts the rates; returns whether any changed.
   *
   * @param held whether another source limits a target
   */
  boolean decide(Predicate<TargetRun> held, long nowMs) {
    boolean changed = false;
    for (Iterator<Map.Entry<TargetRun, PaceSearch>> all = searches.entrySet().iterator();
        all.hasNext(); ) {
      Map.Entry<TargetRun, PaceSearch> entry = all.next();
      TargetRun run = entry.getKey();
      PaceSearch search = entry.getValue();
      if (!search.decide(held.test(run), nowMs)) {
        continue;
      }
      changed = true;
      logDecision(run, search);
      if (search.ended()) {
        all.remove();
        int relapses = histories.getOrDefault(run, new History(0, nowMs)).relapses();
        histories.put(run, new History(relapses, nowMs));
      }
    }
    return changed;
  }

  /** Logs the end of a search, and a rate that differs much from the one that was logged last. */
  private void logDecision(TargetRun run, PaceSearch search) {
    double rate = search.perSecond();
    double before = loggedRates.getOrDefault(run, rate);
    boolean large = rate >= LOGGED_FACTOR * before || rate * LOGGED_FACTOR <= before;
    if (search.ended()) {
      loggedRates.remove(run);
      log(run, "answers", "none");
    } else if (large || !loggedRates.containsKey(run)) {
      loggedRates.put(run, rate);
      log(run, "answers", String.valueOf(rate));
    }
  }

  private static void log(TargetRun run, String cause, String perSecond) {
    LOGGER.log(
        System.Logger.Level.INFO,
        LogLine.of("target.pace")
            .with("target", run.target())
            .with("per_second", perSecond)
            .with("cause", cause)
            .toString());
  }

  /** The rates of all paced targets. */
  List<LimitStatement> statements() {
    List<LimitStatement> statements = new ArrayList<>();
    searches.forEach(
        (run, search) ->
            statements.add(new LimitStatement(run, Optional.of(search.perSecond()), 0)));
    return statements;
  }

  /** Number of targets that are paced. */
  int count() {
    return searches.size();
  }

  @Override
  public Optional<Double> perSecond(TargetRun run, long nowMs) {
    return Optional.ofNullable(searches.get(run)).map(PaceSearch::perSecond);
  }

  @Override
  public boolean limitsAny(long nowMs) {
    return !searches.isEmpty();
  }

  @Override
  public void expire(long nowMs) {
    seenMs.values().removeIf(ms -> nowMs - ms >= SEEN_KEPT_MS);
    histories.values().removeIf(history -> nowMs - history.endedMs() >= SEEN_KEPT_MS);
    failures.keySet().removeIf(run -> !services.containsKey(run));
  }

  /** Forgets a run that has ended. It counts as known if it is heard of again. */
  @Override
  public void forget(TargetRun run) {
    searches.remove(run);
    loggedRates.remove(run);
    failures.remove(run);
    services.remove(run);
  }
}
