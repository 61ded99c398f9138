package dev.caroblb.pacing;

import dev.caroblb.core.FailureDomain;
import dev.caroblb.core.LogLine;
import dev.caroblb.core.TargetRun;
import dev.caroblb.routing.WarmUp;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.random.RandomGenerator;

/**
 * The rates at which targets may get requests, and the permits for requests to limited targets that
 * this instance may use or give out. The rate of a target is the least of what it names, what it
 * tolerates while it is cold, and what was learned. It holds for all instances together: one
 * control instance gives out all permits, and an instance that gets no reply from it uses its own
 * share.
 */
public final class TargetLimits {
  /**
   * Minimum rate of permits, in requests per second. The responses to these requests show when a
   * target that takes next to nothing ends its limit.
   */
  private static final double MIN_PER_SECOND = 0.25;

  /** Number of instances assumed to share a limit until a control instance reports it. */
  private static final int ASSUMED_INSTANCES = 16;

  /**
   * Number of instances assumed to share the rate of a paced target until a control instance
   * reports it; exceeds that of the known deployments, because a cold target crashes above its
   * rate.
   */
  private static final int ASSUMED_PACED_INSTANCES = 128;

  /**
   * Time in milliseconds without a message of the control instance after which an instance uses its
   * own share. Until then the control instance may still give out all permits.
   */
  private static final long OWN_SHARE_AFTER_MS = 1_500;

  private static final double MS_PER_SECOND = 1_000;

  private static final System.Logger LOGGER = System.getLogger(TargetLimits.class.getName());

  private final StatedLimits stated = new StatedLimits();
  private final WarmUps warmUps = new WarmUps();
  private final AnnouncedRates announced = new AnnouncedRates();
  private final Optional<LearnedRates> learned;
  private final List<RateSource> paces;
  private final double phase;
  private final Map<TargetRun, RequestBucket> buckets = new HashMap<>();
  private final Map<TargetRun, Long> deniedUntilMs = new HashMap<>();
  private final RecentMaximum recentInstances = new RecentMaximum();
  private final PacingGauges gauges = new PacingGauges();
  private double share = 1.0 / ASSUMED_INSTANCES;
  private double pacedShare = 1.0 / ASSUMED_PACED_INSTANCES;
  private long accrueFromMs = Long.MIN_VALUE;

  /** Creates the limits of an entry whose own permits are not delayed against those of others. */
  public TargetLimits() {
    this(0, Optional.empty());
  }

  /** Creates the limits of an entry. */
  public static TargetLimits ofEntry(RandomGenerator random) {
    return new TargetLimits(random.nextDouble(), Optional.empty());
  }

  /**
   * Creates the limits of a control instance.
   *
   * @param learned rates that it learns; empty if rates are not learned
   */
  public static TargetLimits ofControl(Optional<LearnedRates> learned) {
    return new TargetLimits(0, learned);
  }

  private TargetLimits(double phase, Optional<LearnedRates> learned) {
    this.phase = phase;
    this.learned = learned;
    paces = List.of(warmUps, learned.<RateSource>map(rates -> rates).orElse(announced));
  }

  /** Sets the warm-up of each service that names one. */
  public void setWarmUps(Map<String, WarmUp> byService) {
    warmUps.setWarmUps(byService);
    learned.ifPresent(rates -> rates.setWarmUps(byService));
  }

  /**
   * Sets the share of the limits that this instance uses or gives out. Control instances that are
   * used by different instances together give out no more than the limits.
   *
   * @param instances number of instances that get their permits here
   * @param allInstances number of instances that share the limits
   */
  public void setShare(int instances, int allInstances) {
    share = share(instances, allInstances);
    pacedShare = share(instances, Math.max(allInstances, recentInstances.value()));
  }

  /** Sets the share; instances that were lost lately may still use theirs of paced targets. */
  public void setShare(int instances, int allInstances, long nowMs) {
    recentInstances.add(Math.max(instances, allInstances), nowMs);
    setShare(instances, allInstances);
  }

  private static double share(int instances, int allInstances) {
    return (double) instances / Math.max(1, Math.max(instances, allInstances));
  }

  /** Records a message of the control instance that gives out the permits. */
  public void coordinatorHeard(long nowMs) {
    accrueFromMs = nowMs + OWN_SHARE_AFTER_MS;
    buckets.forEach((run, bucket) -> bucket.empty(accrueFromMs, phase(run, nowMs)));
  }

  private double phase(TargetRun run, long nowMs) {
    return leastPaced(run, nowMs).isPresent() ? phase : 0;
  }

  /** Records that a target is available and what its announcement says about its warm-up. */
  public void available(
      TargetRun run,
      String service,
      FailureDomain domain,
      AnnouncedWarmUp announcement,
      long nowMs) {
    warmUps.member(run, service, domain);
    learned.ifPresent(rates -> rates.available(run, service, nowMs));
    boolean coldBefore = warmUps.cold(run, nowMs);
    warmUps.announced(run, announcement, nowMs);
    warmUpObserved(run, coldBefore, "announcement", nowMs);
  }

  /**
   * Records how long a target stays cold by a response; returns whether this is news.
   *
   * @param sentMs time at which the request was sent. The response may have left the target at any
   *     time since then, so a response of a warm target does not end a warm-up that began later.
   */
  public boolean warmUpHeard(TargetRun run, long leftMs, long sentMs, long nowMs) {
    boolean coldBefore = warmUps.cold(run, nowMs);
    boolean news = warmUps.observed(run, leftMs, leftMs > 0 ? nowMs : sentMs, nowMs);
    warmUpObserved(run, coldBefore, "response", nowMs);
    return news;
  }

  /** Adds what another instance knows of a warm-up; returns whether this is news. */
  public boolean received(WarmUpStatement statement, long nowMs) {
    boolean coldBefore = warmUps.cold(statement.run(), nowMs);
    boolean news = warmUps.received(statement, nowMs);
    warmUpObserved(statement.run(), coldBefore, "peer", nowMs);
    return news;
  }

  private void warmUpObserved(TargetRun run, boolean coldBefore, String source, long nowMs) {
    if (coldBefore != warmUps.cold(run, nowMs)) {
      warmUpChanged(run, source, nowMs);
    }
  }

  /** A target that turns cold gets no requests with permits from before. */
  private void warmUpChanged(TargetRun run, String source, long nowMs) {
    deniedUntilMs.remove(run);
    if (warmUps.cold(run, nowMs) && buckets.containsKey(run)) {
      buckets.get(run).empty(Math.max(nowMs, accrueFromMs), phase);
    }
    LOGGER.log(
        System.Logger.Level.INFO,
        LogLine.of("target.warming")
            .with("target", run.target())
            .with(
                "left_ms", warmUps.statement(run, nowMs).map(WarmUpStatement::leftNowMs).orElse(0L))
            .with("source", source)
            .toString());
    updateGauges(nowMs);
  }

  /**
   * Takes the targets of a failure domain for cold for the time that their services name, because
   * the evacuation of the domain was withdrawn. An announcement that a target sends later, and
   * which says otherwise, ends this.
   */
  public void warmingAgain(FailureDomain domain, long nowMs) {
    for (TargetRun run : warmUps.warmingAgain(domain, nowMs)) {
      warmUpChanged(run, "evacuation_withdrawn", nowMs);
      learned.ifPresent(rates -> rates.recovering(run, "evacuation_withdrawn", nowMs));
    }
  }

  /** Warm-ups of all targets that are cold. */
  List<WarmUpStatement> warmUpStatements(long nowMs) {
    return warmUps.statements(nowMs);
  }

  /** The warm-up of a target that is cold. */
  Optional<WarmUpStatement> warmUpStatement(TargetRun run, long nowMs) {
    return warmUps.statement(run, nowMs);
  }

  /** Rates that this instance learns; empty at an entry. */
  Optional<LearnedRates> learned() {
    return learned;
  }

  /** Rates that a control instance learned. */
  AnnouncedRates announced() {
    return announced;
  }

  /** Adjusts the learned rates; returns whether any changed. */
  boolean decideRates(long nowMs) {
    return learned.filter(rates -> rates.decide(run -> held(run, nowMs), nowMs)).isPresent();
  }

  /** Whether a target gets fewer requests than the learned rate allows. */
  private boolean held(TargetRun run, long nowMs) {
    double rate = learned.flatMap(rates -> rates.perSecond(run, nowMs)).orElse(0.0);
    return warmUps.cold(run, nowMs)
        || stated.perSecond(run, nowMs).filter(limit -> limit < rate).isPresent();
  }

  /**
   * Records what a target said about its limit in a response; returns whether its limit changed.
   *
   * @param sentMs time at which the request was sent
   */
  public boolean heard(TargetRun run, Optional<Double> perSecond, long sentMs, long nowMs) {
    boolean changed =
        perSecond.isPresent()
            ? stated.named(run, perSecond.get(), nowMs)
            : stated.notNamed(run, sentMs);
    return changed && limitChanged(run);
  }

  private boolean limitChanged(TargetRun run) {
    deniedUntilMs.remove(run);
    return true;
  }

  /** Adds a statement that another instance passed on; returns whether the limit changed. */
  public boolean received(LimitStatement statement, long nowMs) {
    return stated.received(statement, nowMs) && limitChanged(statement.run());
  }

  /** The latest statement of a target; empty if it never named a limit. */
  public Optional<LimitStatement> statement(TargetRun run, long nowMs) {
    return stated.statement(run, nowMs);
  }

  /** The latest statements of all targets that name a limit or have named one. */
  public List<LimitStatement> statements(long nowMs) {
    return stated.statements(nowMs);
  }

  /** Whether any target is limited. */
  public boolean anyLimited(long nowMs) {
    return stated.limitsAny(nowMs) || paces.stream().anyMatch(source -> source.limitsAny(nowMs));
  }

  /** Whether a target names a limit, is cold, or has a learned rate. */
  public boolean limited(TargetRun run, long nowMs) {
    return stated.perSecond(run, nowMs).isPresent() || leastPaced(run, nowMs).isPresent();
  }

  /** Whether this instance may send or assign a request to a target, as far as limits go. */
  public boolean permits(TargetRun run, long nowMs) {
    if (!limited(run, nowMs)) {
      return true;
    }
    boolean available = bucket(run, nowMs).available(pace(run, nowMs), nowMs);
    if (!available) {
      learned.ifPresent(rates -> rates.denied(run));
    }
    return available;
  }

  /** Uses a permit, if the target is limited. */
  public void take(TargetRun run, long nowMs) {
    if (limited(run, nowMs)) {
      bucket(run, nowMs).take(pace(run, nowMs), nowMs);
    }
  }

  /** Records that the control instance has no permit for a target until a time. */
  public void denied(TargetRun run, long untilMs) {
    deniedUntilMs.put(run, untilMs);
    gauges.countDenied();
  }

  /** Counts a permit that this control instance denied. */
  public void countDenied() {
    gauges.countDenied();
  }

  public PacingGauges gauges() {
    return gauges;
  }

  /** Whether a target is limited and the control instance may have a permit for it. */
  public boolean permitExpected(TargetRun run, long nowMs) {
    return limited(run, nowMs) && nowMs >= deniedUntilMs.getOrDefault(run, Long.MIN_VALUE);
  }

  /** Time in milliseconds until a request to a target is expected to get a permit. */
  public long waitMs(TargetRun run, long nowMs) {
    if (!limited(run, nowMs)) {
      return 0;
    }
    long deniedMs = deniedUntilMs.getOrDefault(run, Long.MIN_VALUE);
    if (deniedMs > nowMs) {
      return deniedMs - nowMs;
    }
    // Until the own share is used, the control instance gives out permits at the whole rate.
    return nowMs < accrueFromMs
        ? (long) Math.ceil(MS_PER_SECOND / limit(run, nowMs))
        : bucket(run, nowMs).waitMs(pace(run, nowMs), nowMs);
  }

  /** The least of the rates of a target, in requests per second. */
  private double limit(TargetRun run, long nowMs) {
    double named = stated.perSecond(run, nowMs).orElse(Double.POSITIVE_INFINITY);
    double paced = leastPaced(run, nowMs).orElse(Double.POSITIVE_INFINITY);
    return Math.max(MIN_PER_SECOND, Math.min(named, paced));
  }

  private Optional<Double> leastPaced(TargetRun run, long nowMs) {
    Optional<Double> least = Optional.empty();
    for (RateSource source : paces) {
      Optional<Double> rate = source.perSecond(run, nowMs);
      if (rate.isPresent() && least.filter(known -> known <= rate.get()).isEmpty()) {
        least = rate;
      }
    }
    return least;
  }

  private Pace pace(TargetRun run, long nowMs) {
    return leastPaced(run, nowMs).isPresent()
        ? Pace.paced(pacedShare, limit(run, nowMs))
        : Pace.stated(share, limit(run, nowMs));
  }

  private RequestBucket bucket(TargetRun run, long nowMs) {
    return buckets.computeIfAbsent(
        run,
        key -> {
          RequestBucket bucket = new RequestBucket(Math.max(nowMs, accrueFromMs));
          bucket.empty(Math.max(nowMs, accrueFromMs), phase(run, nowMs));
          return bucket;
        });
  }

  /** Forgets what is not needed any more. */
  public void expire(long nowMs) {
    stated.expire(nowMs);
    paces.forEach(source -> source.expire(nowMs));
    updateGauges(nowMs);
  }

  private void updateGauges(long nowMs) {
    gauges.set(warmUps.count(nowMs), learned.map(LearnedRates::count).orElse(announced.count()));
  }

  /** Forgets a run of a target that has ended. */
  public void forget(TargetRun run) {
    stated.forget(run);
    paces.forEach(source -> source.forget(run));
    buckets.remove(run);
    deniedUntilMs.remove(run);
  }
}
