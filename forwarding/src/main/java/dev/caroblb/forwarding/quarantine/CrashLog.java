package dev.caroblb.forwarding.quarantine;

import java.util.ArrayList;
import java.util.Collections;
import java.util.Comparator;
import java.util.HashMap;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;

/** The latest crashes of engines, and when engines last generated on the parts of prompts. */
final class CrashLog {
  /** Number of parts for which the time of the last answer is kept. */
  private static final int MAX_ANSWERED = 4_096;

  /** Number of engine runs for which the time of a withdrawn crash is kept. */
  private static final int MAX_SURVIVORS = 1_024;

  /**
   * Time in milliseconds after which a heartbeat shows that an engine did not crash. Heartbeats may
   * arrive some seconds late, so an earlier one may have been sent before the crash.
   */
  static final long SURVIVAL_MS = 3_000;

  private final Map<EngineCrash.EngineRun, EngineCrash> crashes = new LinkedHashMap<>();
  private final Map<PromptPart, Long> answeredMs = new RecentTimes<>(MAX_ANSWERED);

  /** Time up to which an engine run is known not to have crashed. */
  private final Map<EngineCrash.EngineRun, Long> survivedUntilMs = new RecentTimes<>(MAX_SURVIVORS);

  private Set<PromptPart> quarantined = Set.of();

  /** Adds a report of a crash; returns whether it adds anything. */
  boolean add(EngineCrash.EngineRun run, long crashedMs, Map<PromptPart, Long> sentMs) {
    if (crashedMs <= survivedUntilMs.getOrDefault(run, Long.MIN_VALUE)) {
      return false;
    }
    EngineCrash known = crashes.get(run);
    if (known != null) {
      return known.merge(crashedMs, sentMs);
    }
    if (!makeRoom(crashedMs)) {
      return false;
    }
    EngineCrash crash = new EngineCrash(run, crashedMs);
    crashes.put(run, crash);
    return crash.merge(crashedMs, sentMs);
  }

  /**
   * Drops the oldest of too many crashes, but not those of quarantined parts while there are
   * others. Returns false if a new crash would be dropped itself, since instances that add and drop
   * the same crashes would send each other their evidence without end.
   */
  private boolean makeRoom(long crashedMs) {
    if (crashes.size() < Evidence.MAX_CRASHES) {
      return true;
    }
    List<EngineCrash> droppable =
        crashes.values().stream().filter(crash -> !crash.hasAnySuspect(quarantined)).toList();
    EngineCrash oldest =
        Collections.min(
            droppable.isEmpty() ? crashes.values() : droppable,
            Comparator.comparingLong(EngineCrash::crashedMs));
    if (oldest.crashedMs() >= crashedMs) {
      return false;
    }
    crashes.remove(oldest.run());
    return true;
  }

  /**
   * Records a heartbeat of an engine. Returns whether it withdraws a crash: an engine that goes on
   * sending heartbeats only lost connections.
   */
  boolean alive(EngineCrash.EngineRun run, long nowMs) {
    EngineCrash crash = crashes.get(run);
    if (crash == null || nowMs - crash.crashedMs() < SURVIVAL_MS) {
      return false;
    }
    crashes.remove(run);
    survivedUntilMs.put(run, nowMs - SURVIVAL_MS);
    return true;
  }

  /** Sets the parts whose crashes are kept longest. */
  void setQuarantined(Set<PromptPart> parts) {
    quarantined = Set.copyOf(parts);
  }

  /**
   * Records that an engine generated on a part; returns whether this rules it out as the cause of a
   * crash of which it was a suspect until now.
   */
  boolean answered(PromptPart part, long answerMs) {
    long before = answeredMs.getOrDefault(part, Long.MIN_VALUE);
    if (answerMs <= before) {
      return false;
    }
    answeredMs.put(part, answerMs);
    for (EngineCrash crash : crashes.values()) {
      boolean suspected = crash.hasSuspect(part) && crash.crashedMs() >= before;
      if (suspected && crash.crashedMs() < answerMs) {
        return true;
      }
    }
    return false;
  }

  /** Whether an engine has generated on a part at all, as far as this is remembered. */
  boolean everAnswered(PromptPart part) {
    return answeredMs.containsKey(part);
  }

  /**
   * Whether a part may have caused a crash. A part on which an engine has generated since then did
   * not: a part that crashes engines crashes each of them.
   */
  boolean suspected(PromptPart part, EngineCrash crash) {
    return crash.hasSuspect(part)
        && answeredMs.getOrDefault(part, Long.MIN_VALUE) <= crash.crashedMs();
  }

  /** Forgets crashes before a time; returns whether there were any. */
  boolean expire(long beforeMs) {
    return crashes.values().removeIf(crash -> crash.crashedMs() < beforeMs);
  }

  List<EngineCrash> crashes() {
    return new ArrayList<>(crashes.values());
  }

  /** Number of crashes of which a part is or was a suspect. */
  int crashesWith(PromptPart part) {
    int count = 0;
    for (EngineCrash crash : crashes.values()) {
      count += crash.hasSuspect(part) ? 1 : 0;
    }
    return count;
  }

  /** All parts that are or were suspects of a crash. */
  Set<PromptPart> suspects() {
    Set<PromptPart> suspects = new HashSet<>();
    crashes.values().forEach(crash -> suspects.addAll(crash.suspects()));
    return suspects;
  }

  /** Encodes the crashes, and the answers to the given parts. */
  Evidence toEvidence(Set<PromptPart> parts, long nowMs) {
    List<AnsweredPart> answers = new ArrayList<>();
    Map<PromptPart, Long> known = new HashMap<>(answeredMs);
    for (PromptPart part : parts) {
      Long answerMs = known.get(part);
      if (answerMs != null && answers.size() < Evidence.MAX_ANSWERED) {
        answers.add(new AnsweredPart(part, Math.max(0, nowMs - answerMs)));
      }
    }
    return new Evidence(
        crashes.values().stream().map(crash -> crash.toReport(nowMs)).toList(), answers);
  }
}
