package dev.caroblb.daemon;

import dev.caroblb.core.FailureDomain;
import dev.caroblb.core.TargetId;
import dev.caroblb.membership.AgedAnnouncement;
import dev.caroblb.membership.Announcement;
import dev.caroblb.membership.TargetChange;
import dev.caroblb.membership.TargetKind;
import dev.caroblb.membership.TargetLoad;
import dev.caroblb.placement.CacheEvent;
import dev.caroblb.placement.LoadReport;
import dev.caroblb.placement.PlacementMessage;
import dev.caroblb.placement.TargetState;
import dev.caroblb.placement.TargetView;
import dev.caroblb.streams.Endpoint;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.function.LongConsumer;

/**
 * Translates the target changes that membership reports into messages for placement. Keeps the
 * endpoints of targets, so that a resume reaches the target that its generation identifier names.
 */
final class TargetDirectory {
  private final Map<TargetId, TargetView> views = new ConcurrentHashMap<>();
  private final Set<TargetId> engines = ConcurrentHashMap.newKeySet();
  private final LongConsumer preemptionCounter;
  private volatile Set<FailureDomain> evacuated = Set.of();

  /**
   * @param preemptionCounter receives the number of new preemptions in each report of an engine
   */
  TargetDirectory(LongConsumer preemptionCounter) {
    this.preemptionCounter = preemptionCounter;
  }

  /** Updates the directory and returns the resulting messages for placement. */
  List<PlacementMessage> apply(TargetChange change) {
    if (change instanceof TargetChange.Available available) {
      return targetReported(available.latest());
    }
    if (change instanceof TargetChange.Restarted restarted) {
      return targetReported(restarted.latest());
    }
    if (change instanceof TargetChange.Reported reported) {
      return targetReported(reported.latest());
    }
    if (change instanceof TargetChange.Leaving leaving) {
      return targetStateChanged(leaving.target(), leaving.incarnation(), TargetState.LEAVING);
    }
    if (change instanceof TargetChange.Gone gone) {
      return targetStateChanged(gone.target(), gone.incarnation(), TargetState.GONE);
    }
    return List.of();
  }

  private List<PlacementMessage> targetReported(AgedAnnouncement aged) {
    Announcement announcement = aged.announcement();
    TargetView view =
        new TargetView(
            announcement.target(),
            announcement.incarnation(),
            announcement.domain(),
            announcement.address(),
            announcement.serves(),
            announcement.leaving() ? TargetState.LEAVING : stateIn(announcement.domain()),
            load(announcement, aged.ageMs()));
    TargetView previous = views.put(view.target(), view);
    countPreemptions(previous, view);
    if (announcement.kind() == TargetKind.ENGINE) {
      engines.add(view.target());
    }
    List<PlacementMessage> messages = new ArrayList<>();
    messages.add(new PlacementMessage.TargetSeen(view));
    for (dev.caroblb.membership.CacheEvent event : announcement.cacheEvents()) {
      messages.add(new PlacementMessage.CacheSeen(cacheEvent(announcement, event)));
    }
    return messages;
  }

  private TargetState stateIn(FailureDomain domain) {
    return evacuated.contains(domain) ? TargetState.EVACUATED : TargetState.AVAILABLE;
  }

  /** Sets the evacuated failure domains and returns the resulting messages for placement. */
  List<PlacementMessage> setEvacuated(Set<FailureDomain> domains) {
    evacuated = Set.copyOf(domains);
    List<PlacementMessage> messages = new ArrayList<>();
    for (TargetView known : List.copyOf(views.values())) {
      TargetView view = withState(known, stateIn(known.domain()));
      // A target that is reported at the same time gets the new state with that report.
      if (known.state() != TargetState.LEAVING && views.replace(known.target(), known, view)) {
        messages.add(new PlacementMessage.TargetSeen(view));
      }
    }
    return messages;
  }

  private static TargetView withState(TargetView view, TargetState state) {
    return new TargetView(
        view.target(),
        view.incarnation(),
        view.domain(),
        view.address(),
        view.serves(),
        state,
        view.load());
  }

  private void countPreemptions(TargetView previous, TargetView latest) {
    if (previous == null || previous.incarnation() != latest.incarnation()) {
      return;
    }
    long before = previous.load().map(LoadReport::preemptions).orElse(0L);
    long after = latest.load().map(LoadReport::preemptions).orElse(before);
    if (after > before) {
      preemptionCounter.accept(after - before);
    }
  }

  private static CacheEvent cacheEvent(
      Announcement announcement, dev.caroblb.membership.CacheEvent event) {
    return new CacheEvent(
        announcement.target(),
        announcement.incarnation(),
        event.sequence(),
        event.prefix(),
        event.change() == dev.caroblb.membership.CacheEvent.Change.STORED);
  }

  private static Optional<LoadReport> load(Announcement announcement, long ageMs) {
    if (announcement.kind() == TargetKind.SERVICE) {
      return Optional.empty();
    }
    TargetLoad load = announcement.load();
    return Optional.of(
        new LoadReport(
            clampToInt(load.running()),
            clampToInt(load.waiting()),
            clampToInt(load.usedBlocks()),
            clampToInt(load.totalBlocks()),
            load.preemptions(),
            ageMs));
  }

  private static int clampToInt(long value) {
    return (int) Math.min(value, Integer.MAX_VALUE);
  }

  private List<PlacementMessage> targetStateChanged(
      TargetId target, long incarnation, TargetState state) {
    TargetView known = views.get(target);
    if (known == null || known.incarnation() != incarnation) {
      return List.of();
    }
    TargetView view = withState(known, state);
    if (state == TargetState.GONE) {
      views.remove(target, known);
      engines.remove(target);
    } else {
      views.put(target, view);
    }
    return List.of(new PlacementMessage.TargetSeen(view));
  }

  /** Endpoint of an incarnation of a target; empty if it is gone. */
  Optional<Endpoint> endpoint(TargetId target, long incarnation) {
    return Optional.ofNullable(views.get(target))
        .filter(view -> view.incarnation() == incarnation)
        .map(view -> new Endpoint(target, view.incarnation(), view.domain(), view.address()));
  }

  /** Endpoint of the latest incarnation of a target; empty if the target is gone. */
  Optional<Endpoint> endpoint(TargetId target) {
    return Optional.ofNullable(views.get(target))
        .flatMap(view -> endpoint(target, view.incarnation()));
  }

  /** Engines that are not leaving and not evacuated. */
  Set<TargetId> availableEngines() {
    Set<TargetId> available = new HashSet<>();
    for (TargetId engine : engines) {
      TargetView view = views.get(engine);
      if (view != null && view.state() == TargetState.AVAILABLE) {
        available.add(engine);
      }
    }
    return available;
  }

  /** Number of known targets. */
  int size() {
    return views.size();
  }
}
