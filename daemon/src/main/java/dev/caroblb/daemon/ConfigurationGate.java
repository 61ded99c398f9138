package dev.caroblb.daemon;

import dev.caroblb.callers.AdmissionGate;
import dev.caroblb.callers.WorkspaceAccess;
import dev.caroblb.configuration.ConfigurationSnapshot;
import dev.caroblb.configuration.EntryView;
import dev.caroblb.configuration.WorkspaceSettings;
import dev.caroblb.core.CallPolicy;
import dev.caroblb.core.LogLine;
import dev.caroblb.core.MillisClock;
import dev.caroblb.core.Outlet;
import dev.caroblb.core.Refusal;
import dev.caroblb.core.RefusalReason;
import dev.caroblb.core.WorkspaceId;
import java.util.Optional;
import java.util.concurrent.atomic.AtomicReference;

/**
 * Admits calls under the latest configuration while its lease is valid, until a drain reaches the
 * stage in which new calls are refused.
 */
final class ConfigurationGate implements AdmissionGate, Outlet<EntryView> {
  private static final System.Logger LOGGER = System.getLogger(ConfigurationGate.class.getName());
  private static final long RETRY_AFTER_MS = 1_000;

  /** The change of admission that was logged last. */
  private enum Logged {
    NONE,
    OPEN,
    REFUSING
  }

  private final AtomicReference<Logged> logged = new AtomicReference<>(Logged.NONE);
  private final MillisClock clock;
  private final Outlet<ConfigurationSnapshot> configurationChanges;
  private final Outlet<Long> leases;
  private volatile EntryView view = new EntryView(ConfigurationSnapshot.empty(), 0);
  private volatile boolean draining;

  /**
   * @param configurationChanges receives each new configuration
   * @param leases receives the monotonic time until which calls are admitted, with each renewal
   */
  ConfigurationGate(
      MillisClock clock, Outlet<ConfigurationSnapshot> configurationChanges, Outlet<Long> leases) {
    this.clock = clock;
    this.configurationChanges = configurationChanges;
    this.leases = leases;
  }

  @Override
  public boolean offer(EntryView latest) {
    boolean changed = latest.snapshot().number() != view.snapshot().number();
    view = latest;
    logOpened(latest);
    if (changed) {
      configurationChanges.offer(latest.snapshot());
    }
    leases.offer(latest.leaseValidUntilMs());
    return true;
  }

  void refuseNewCalls() {
    draining = true;
  }

  ConfigurationSnapshot snapshot() {
    return view.snapshot();
  }

  boolean admits() {
    return !draining && view.admitsAt(clock.nowMs());
  }

  @Override
  public Optional<Refusal> closedReason() {
    if (draining) {
      return Optional.of(Refusal.of(RefusalReason.DRAINING));
    }
    EntryView current = view;
    if (!current.admitsAt(clock.nowMs())) {
      logFirstRefusal(current);
      return Optional.of(
          Refusal.of(RefusalReason.CONFIGURATION_LEASE_EXPIRED).retryAfter(RETRY_AFTER_MS));
    }
    return Optional.empty();
  }

  private void logOpened(EntryView latest) {
    long nowMs = clock.nowMs();
    if (latest.admitsAt(nowMs) && logged.getAndSet(Logged.OPEN) != Logged.OPEN) {
      LOGGER.log(
          System.Logger.Level.INFO,
          LogLine.of("admission.open")
              .with("configuration", latest.snapshot().number())
              .with("lease_ms", latest.leaseValidUntilMs() - nowMs)
              .toString());
    }
  }

  /** Logs only the first call refused without a lease: callers may repeat theirs at once. */
  private void logFirstRefusal(EntryView current) {
    Logged before = logged.getAndSet(Logged.REFUSING);
    if (before != Logged.REFUSING) {
      LOGGER.log(
          System.Logger.Level.INFO,
          LogLine.of("admission.refused")
              .with("reason", RefusalReason.CONFIGURATION_LEASE_EXPIRED)
              .with("configuration", current.snapshot().number())
              .with("had_lease", before == Logged.OPEN)
              .toString());
    }
  }

  @Override
  public Optional<WorkspaceAccess> workspace(WorkspaceId workspace) {
    return view.snapshot().workspace(workspace).map(Access::new);
  }

  private record Access(WorkspaceSettings settings) implements WorkspaceAccess {
    @Override
    public String tokenSha256() {
      return settings.policy().tokenSha256();
    }

    @Override
    public Optional<CallPolicy> call(String name) {
      return settings.call(name);
    }
  }
}
