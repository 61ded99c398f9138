package dev.caroblb.forwarding;

import dev.caroblb.core.InstanceId;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.Iterator;
import java.util.List;
import java.util.Map;
import java.util.Optional;

/**
 * Work of all instances at all targets: what each instance stated last, and the targets that it was
 * given since then. A statement tells up to which answer it includes what was given, so that
 * nothing is counted twice or left out while messages are on their way.
 */
final class PlacementLedger implements OtherWork {
  private record Grant(long number, TargetWork work, long atMs) {}

  private static final class Account {
    private List<TargetWork> stated = List.of();
    private long statedAtMs;
    private final List<Grant> grants = new ArrayList<>();
  }

  private final long staleMs;
  private final Map<InstanceId, Account> accounts = new HashMap<>();
  private final Map<TargetRun, TargetWork> totals = new HashMap<>();

  /**
   * @param staleMs time in milliseconds after which a statement, and what was given without being
   *     part of one, no longer counts
   */
  PlacementLedger(long staleMs) {
    this.staleMs = staleMs;
  }

  /** Replaces what an instance stated, which includes what it was given up to a number. */
  void stated(InstanceId instance, long upToGrant, List<TargetWork> work, long nowMs) {
    Account account = accounts.computeIfAbsent(instance, id -> new Account());
    account.stated.forEach(this::subtract);
    work.forEach(this::add);
    account.stated = work;
    account.statedAtMs = nowMs;
    dropGrants(account, upToGrant, nowMs);
  }

  /** Notes work that an instance was given and has not stated yet. */
  void granted(InstanceId instance, long number, TargetWork work, long nowMs) {
    Account account = accounts.computeIfAbsent(instance, id -> new Account());
    if (account.statedAtMs == 0) {
      account.statedAtMs = nowMs;
    }
    account.grants.add(new Grant(number, work, nowMs));
    add(work);
  }

  /** Forgets instances that stated nothing for too long. */
  void expire(long nowMs) {
    for (Iterator<Account> all = accounts.values().iterator(); all.hasNext(); ) {
      Account account = all.next();
      dropGrants(account, 0, nowMs);
      if (nowMs - account.statedAtMs >= staleMs && account.grants.isEmpty()) {
        account.stated.forEach(this::subtract);
        all.remove();
      }
    }
  }

  private void dropGrants(Account account, long upToGrant, long nowMs) {
    for (Iterator<Grant> all = account.grants.iterator(); all.hasNext(); ) {
      Grant grant = all.next();
      if (grant.number() <= upToGrant || nowMs - grant.atMs() >= staleMs) {
        subtract(grant.work());
        all.remove();
      }
    }
  }

  private void add(TargetWork work) {
    totals.merge(TargetRun.of(work), work, TargetWork::plus);
  }

  private void subtract(TargetWork work) {
    TargetRun run = TargetRun.of(work);
    TargetWork rest = totals.get(run).plus(work.negative());
    if (rest.empty()) {
      totals.remove(run);
    } else {
      totals.put(run, rest);
    }
  }

  @Override
  public Optional<TargetWork> at(TargetRun run, long nowMs) {
    return Optional.ofNullable(totals.get(run));
  }

  /** Requests at all targets. */
  long requests() {
    return totals.values().stream().mapToLong(TargetWork::requests).sum();
  }

  /** Tokens that are expected to be held at all targets. */
  long tokens() {
    return totals.values().stream().mapToLong(TargetWork::tokens).sum();
  }

  /** The instances that stated their work or were given some. */
  List<InstanceId> instances() {
    return List.copyOf(accounts.keySet());
  }

  /** Work of all instances but one, in the order of the names of the targets. */
  List<TargetWork> without(InstanceId instance) {
    Map<TargetRun, TargetWork> rest = new HashMap<>(totals);
    Account own = accounts.get(instance);
    if (own != null) {
      own.stated.forEach(work -> rest.merge(TargetRun.of(work), work.negative(), TargetWork::plus));
      own.grants.forEach(
          grant ->
              rest.merge(TargetRun.of(grant.work()), grant.work().negative(), TargetWork::plus));
    }
    List<TargetWork> others = new ArrayList<>(rest.values());
    others.removeIf(TargetWork::empty);
    others.sort((a, b) -> a.target().name().compareTo(b.target().name()));
    return others;
  }
}
