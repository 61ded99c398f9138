package dev.caroblb.daemon;

import dev.caroblb.callers.AdmissionGate;
import dev.caroblb.callers.WorkspaceAccess;
import dev.caroblb.configuration.ConfigurationSnapshot;
import dev.caroblb.configuration.EntryView;
import dev.caroblb.configuration.WorkspaceSettings;
import dev.caroblb.core.CallPolicy;
import dev.caroblb.core.MillisClock;
import dev.caroblb.core.Outlet;
import dev.caroblb.core.Refusal;
import dev.caroblb.core.RefusalReason;
import dev.caroblb.core.WorkspaceId;
import java.util.Optional;

/**
 * Admits calls under the latest configuration while its lease is valid, until a drain reaches the
 * stage in which new calls are refused.
 */
final class ConfigurationGate implements AdmissionGate, Outlet<EntryView> {
  private static final long RETRY_AFTER_MS = 1_000;

  private final MillisClock clock;
  private final Outlet<ConfigurationSnapshot> configurationChanges;
  private volatile EntryView view = new EntryView(ConfigurationSnapshot.empty(), 0);
  private volatile boolean draining;

  /**
   * @param configurationChanges receives each new configuration
   */
  ConfigurationGate(MillisClock clock, Outlet<ConfigurationSnapshot> configurationChanges) {
    this.clock = clock;
    this.configurationChanges = configurationChanges;
  }

  @Override
  public boolean offer(EntryView latest) {
    boolean changed = latest.snapshot().number() != view.snapshot().number();
    view = latest;
    if (changed) {
      configurationChanges.offer(latest.snapshot());
    }
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
    if (!view.admitsAt(clock.nowMs())) {
      return Optional.of(
          Refusal.of(RefusalReason.CONFIGURATION_LEASE_EXPIRED).retryAfter(RETRY_AFTER_MS));
    }
    return Optional.empty();
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
