package dev.caroblb.entryselection;

import dev.caroblb.core.FailureDomain;
import dev.caroblb.membership.InstanceRecord;
import java.util.ArrayList;
import java.util.Collections;
import java.util.Comparator;
import java.util.List;
import java.util.Optional;
import java.util.Random;
import java.util.random.RandomGenerator;

/**
 * Names each entry with a probability in proportion to what it has left, and entries of the
 * caller's failure domain rather than others. Each answer is drawn anew from the view of the
 * instance that gives it, so no agreement between such instances is needed.
 */
public final class CapacitySelection implements EntrySelection {
  /**
   * Number of entries that an answer names if there are that many. Callers drop the addresses that
   * failed them, and a caller without any address has to ask again.
   */
  private static final int MIN_NAMED = 8;

  /** Callers ignore further entries of an answer. */
  private static final int MAX_NAMED = 64;

  /**
   * Mean weight of the entries of a failure domain below which its callers are sent to other
   * domains as well, relative to the mean of all entries.
   */
  private static final double MIN_DOMAIN_WEIGHT = 0.7;

  /**
   * Part of the entries of other failure domains that an answer names although the caller's own
   * domain has room: if that domain fails, its callers know addresses elsewhere.
   */
  private static final double REMOTE_FRACTION = 0.05;

  private record Draw(InstanceRecord entry, double weight, double key) {}

  @Override
  public List<InstanceRecord> choose(
      List<InstanceRecord> entries, Optional<FailureDomain> callerDomain, RandomGenerator random) {
    EntryWeights weights = new EntryWeights(entries);
    List<Draw> draws = new ArrayList<>();
    for (int i = 0; i < entries.size(); i++) {
      if (weights.of(i) > 0) {
        draws.add(draw(entries.get(i), weights.of(i), random));
      }
    }
    if (draws.isEmpty()) {
      // An answer without addresses would not help a caller more than a crowded entry.
      entries.forEach(entry -> draws.add(draw(entry, 1, random)));
    }
    return named(preferDomain(draws, entries, callerDomain), random);
  }

  /** Draws the key by which entries are ordered: the larger the weight, the earlier on average. */
  private static Draw draw(InstanceRecord entry, double weight, RandomGenerator random) {
    return new Draw(entry, weight, -Math.log(1 - random.nextDouble()) / weight);
  }

  private static List<Draw> preferDomain(
      List<Draw> draws, List<InstanceRecord> entries, Optional<FailureDomain> callerDomain) {
    boolean measured = entries.stream().anyMatch(entry -> entry.resources().isPresent());
    if (callerDomain.isEmpty() || !measured) {
      // Without reports, a domain with too little room would not be noticed.
      return draws;
    }
    FailureDomain own = callerDomain.get();
    List<Draw> local = draws.stream().filter(d -> d.entry().domain().equals(own)).toList();
    long localEntries = entries.stream().filter(entry -> entry.domain().equals(own)).count();
    boolean room =
        local.size() >= MIN_NAMED
            && sum(local) / localEntries >= MIN_DOMAIN_WEIGHT * sum(draws) / entries.size();
    if (!room) {
      return draws;
    }
    List<Draw> preferred = new ArrayList<>();
    for (Draw draw : draws) {
      double factor = draw.entry().domain().equals(own) ? 1 : REMOTE_FRACTION;
      preferred.add(new Draw(draw.entry(), factor * draw.weight(), draw.key() / factor));
    }
    return preferred;
  }

  private static double sum(List<Draw> draws) {
    return draws.stream().mapToDouble(Draw::weight).sum();
  }

  private static List<InstanceRecord> named(List<Draw> draws, RandomGenerator random) {
    List<Draw> ordered = new ArrayList<>(draws);
    ordered.sort(Comparator.comparingDouble(Draw::key));
    List<InstanceRecord> named = new ArrayList<>();
    List<InstanceRecord> others = new ArrayList<>();
    for (Draw draw : ordered) {
      boolean drawn = random.nextDouble() < draw.weight();
      (drawn ? named : others).add(draw.entry());
    }
    while (named.size() < MIN_NAMED && !others.isEmpty()) {
      named.add(others.remove(0));
    }
    Collections.shuffle(named, new Random(random.nextLong()));
    return named.subList(0, Math.min(MAX_NAMED, named.size()));
  }
}
