package dev.caroblb.daemon;

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
 * Translates what membership knows about targets for placement, and keeps their endpoints so that a
 * generation can be found by its identity.
 */
final class TargetDirectory {
  private final Map<TargetId, TargetView> views = new ConcurrentHashMap<>();
  private final Set<TargetId> engines = ConcurrentHashMap.newKeySet();
  private final LongConsumer preempted;

  /**
   * @param preempted hears how many preemptions an engine reported since its previous report
   */
  TargetDirectory(LongConsumer preempted) {
    this.preempted = preempted;
  }

  /** Messages for placement; updates the directory. */
  List<PlacementMessage> translate(TargetChange change) {
    if (change instanceof TargetChange.Available available) {
      return announced(available.latest());
    }
    if (change instanceof TargetChange.Restarted restarted) {
      return announced(restarted.latest());
    }
    if (change instanceof TargetChange.Reported reported) {
      return announced(reported.latest());
    }
    if (change instanceof TargetChange.Leaving leaving) {
      return changed(leaving.target(), leaving.incarnation(), TargetState.LEAVING);
    }
    if (change instanceof TargetChange.Gone gone) {
      return changed(gone.target(), gone.incarnation(), TargetState.GONE);
    }
    return List.of();
  }

  private List<PlacementMessage> announced(AgedAnnouncement aged) {
    Announcement announcement = aged.announcement();
    TargetView view =
        new TargetView(
            announcement.target(),
            announcement.incarnation(),
            announcement.domain(),
            announcement.address(),
            announcement.serves(),
            announcement.leaving() ? TargetState.LEAVING : TargetState.AVAILABLE,
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

  private void countPreemptions(TargetView previous, TargetView latest) {
    if (previous == null || previous.incarnation() != latest.incarnation()) {
      return;
    }
    long before = previous.load().map(LoadReport::preemptions).orElse(0L);
    long after = latest.load().map(LoadReport::preemptions).orElse(before);
    if (after > before) {
      preempted.accept(after - before);
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
            clamp(load.running()),
            clamp(load.waiting()),
            clamp(load.usedBlocks()),
            clamp(load.totalBlocks()),
            load.preemptions(),
            ageMs));
  }

  private static int clamp(long value) {
    return (int) Math.min(value, Integer.MAX_VALUE);
  }

  private List<PlacementMessage> changed(TargetId target, long incarnation, TargetState state) {
    TargetView known = views.get(target);
    if (known == null || known.incarnation() != incarnation) {
      return List.of();
    }
    TargetView view =
        new TargetView(
            target,
            incarnation,
            known.domain(),
            known.address(),
            known.serves(),
            state,
            known.load());
    if (state == TargetState.GONE) {
      views.remove(target, known);
      engines.remove(target);
    } else {
      views.put(target, view);
    }
    return List.of(new PlacementMessage.TargetSeen(view));
  }

  /** Where an incarnation of a target can be reached, unless it is gone. */
  Optional<Endpoint> endpoint(TargetId target, long incarnation) {
    return Optional.ofNullable(views.get(target))
        .filter(view -> view.incarnation() == incarnation)
        .map(view -> new Endpoint(target, view.incarnation(), view.domain(), view.address()));
  }

  /** Where the latest incarnation of a target can be reached. */
  Optional<Endpoint> endpoint(TargetId target) {
    return Optional.ofNullable(views.get(target))
        .flatMap(view -> endpoint(target, view.incarnation()));
  }

  /** Engines that are not leaving. */
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
