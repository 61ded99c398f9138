package dev.caroblb.scheduling;

import dev.caroblb.core.InstanceId;
import dev.caroblb.core.TargetRun;
import dev.caroblb.targets.RemoteLoad;
import dev.caroblb.targets.TargetLoad;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.Iterator;
import java.util.List;
import java.util.Map;
import java.util.Optional;

/**
 * Load of all instances on all targets: the last report of each instance, and the placements that
 * it was granted since then. A report names the last grant that it includes, so that no load is
 * counted twice or left out while messages are in transit.
 */
public final class PlacementLedger implements RemoteLoad {
  private record Grant(long number, TargetLoad load, long atMs) {}

  private static final class Account {
    private List<TargetLoad> reported = List.of();
    private long reportedAtMs;
    private final List<Grant> grants = new ArrayList<>();
  }

  private final long staleMs;
  private final Map<InstanceId, Account> accounts = new HashMap<>();
  private final Map<TargetRun, TargetLoad> totals = new HashMap<>();

  /**
   * @param staleMs time in milliseconds after which a report, or a grant that no report includes,
   *     no longer counts
   */
  public PlacementLedger(long staleMs) {
    this.staleMs = staleMs;
  }

  /**
   * Replaces the report of an instance and drops its grants up to the given number, which an
   * earlier process of this instance may have given out. Returns the load that the instance had by
   * its previous report and these grants, and no longer has.
   */
  public List<TargetLoad> reported(
      InstanceId instance, long upToGrant, List<TargetLoad> load, long nowMs) {
    Account account = accounts.computeIfAbsent(instance, id -> new Account());
    List<TargetLoad> released = released(account, upToGrant, load);
    account.reported.forEach(this::subtract);
    load.forEach(this::add);
    account.reported = load;
    account.reportedAtMs = nowMs;
    dropGrants(account, upToGrant, nowMs);
    return released;
  }

  private static List<TargetLoad> released(Account account, long upToGrant, List<TargetLoad> load) {
    Map<TargetRun, TargetLoad> rest = new HashMap<>();
    account.reported.forEach(each -> rest.merge(each.run(), each, TargetLoad::plus));
    for (Grant grant : account.grants) {
      if (ProcessSequence.covers(upToGrant, grant.number())) {
        rest.merge(grant.load().run(), grant.load(), TargetLoad::plus);
      }
    }
    load.forEach(each -> rest.merge(each.run(), each.negated(), TargetLoad::plus));
    List<TargetLoad> released = new ArrayList<>();
    for (TargetLoad each : rest.values()) {
      if (each.tokens() > 0 || each.requests() > 0) {
        released.add(
            new TargetLoad(
                each.target(),
                each.incarnation(),
                Math.max(0, each.requests()),
                Math.max(0, each.tokens()),
                0));
      }
    }
    return released;
  }

  /** Adds load that was granted to an instance and that it has not reported yet. */
  public void addGrant(InstanceId instance, long number, TargetLoad load, long nowMs) {
    Account account = accounts.computeIfAbsent(instance, id -> new Account());
    if (account.reportedAtMs == 0) {
      account.reportedAtMs = nowMs;
    }
    account.grants.add(new Grant(number, load, nowMs));
    add(load);
  }

  /** Removes stale grants, and instances without grants whose last report is stale. */
  public void expire(long nowMs) {
    for (Iterator<Account> all = accounts.values().iterator(); all.hasNext(); ) {
      Account account = all.next();
      dropGrants(account, 0, nowMs);
      if (nowMs - account.reportedAtMs >= staleMs && account.grants.isEmpty()) {
        account.reported.forEach(this::subtract);
        all.remove();
      }
    }
  }

  private void dropGrants(Account account, long upToGrant, long nowMs) {
    for (Iterator<Grant> all = account.grants.iterator(); all.hasNext(); ) {
      Grant grant = all.next();
      if (ProcessSequence.covers(upToGrant, grant.number()) || nowMs - grant.atMs() >= staleMs) {
        subtract(grant.load());
        all.remove();
      }
    }
  }

  private void add(TargetLoad load) {
    totals.merge(load.run(), load, TargetLoad::plus);
  }

  private void subtract(TargetLoad load) {
    TargetRun run = load.run();
    TargetLoad rest = totals.get(run).plus(load.negated());
    if (rest.isZero()) {
      totals.remove(run);
    } else {
      totals.put(run, rest);
    }
  }

  @Override
  public Optional<TargetLoad> at(TargetRun run, long nowMs) {
    return Optional.ofNullable(totals.get(run));
  }

  /** Number of requests at all targets. */
  public long requests() {
    return totals.values().stream().mapToLong(TargetLoad::requests).sum();
  }

  /** Tokens that requests are expected to hold in memory at all targets. */
  public long tokens() {
    return totals.values().stream().mapToLong(TargetLoad::tokens).sum();
  }

  /** The instances that reported load or were granted placements. */
  public List<InstanceId> instances() {
    return List.copyOf(accounts.keySet());
  }

  /** Load of all instances except one, sorted by target name. */
  public List<TargetLoad> totalsWithout(InstanceId instance) {
    Map<TargetRun, TargetLoad> rest = new HashMap<>(totals);
    Account own = accounts.get(instance);
    if (own != null) {
      own.reported.forEach(load -> rest.merge(load.run(), load.negated(), TargetLoad::plus));
      own.grants.forEach(
          grant -> rest.merge(grant.load().run(), grant.load().negated(), TargetLoad::plus));
    }
    List<TargetLoad> others = new ArrayList<>(rest.values());
    others.removeIf(TargetLoad::isZero);
    others.sort((a, b) -> a.target().name().compareTo(b.target().name()));
    return others;
  }
}
