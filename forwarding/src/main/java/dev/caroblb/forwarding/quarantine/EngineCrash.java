package dev.caroblb.forwarding.quarantine;

import dev.caroblb.core.TargetId;
import java.util.Collections;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;

/** A possible crash of one run of an engine, with the parts that may have caused it. */
final class EngineCrash {
  /** Identifies one run of an engine. */
  record EngineRun(TargetId target, long incarnation) {}

  private final EngineRun run;
  private final Map<PromptPart, Long> sentMsByPart = new LinkedHashMap<>();
  private long crashedMs;

  EngineCrash(EngineRun run, long crashedMs) {
    this.run = run;
    this.crashedMs = crashedMs;
  }

  EngineRun run() {
    return run;
  }

  long crashedMs() {
    return crashedMs;
  }

  /** Time at which a request with a suspect was sent. */
  long sentMs(PromptPart suspect) {
    return sentMsByPart.get(suspect);
  }

  List<PromptPart> suspects() {
    return List.copyOf(sentMsByPart.keySet());
  }

  boolean hasSuspect(PromptPart part) {
    return sentMsByPart.containsKey(part);
  }

  boolean hasAnySuspect(Set<PromptPart> parts) {
    return !Collections.disjoint(sentMsByPart.keySet(), parts);
  }

  /**
   * Adds a report of the same crash; returns whether it names a new suspect. Of too many suspects,
   * those with the latest requests are kept: the crash is seen shortly after its cause was sent.
   */
  boolean merge(long seenMs, Map<PromptPart, Long> sentMs) {
    crashedMs = Math.min(crashedMs, seenMs);
    boolean changed = false;
    for (Map.Entry<PromptPart, Long> suspect : sentMs.entrySet()) {
      if (!sentMsByPart.containsKey(suspect.getKey()) && makeRoom(suspect.getValue())) {
        sentMsByPart.put(suspect.getKey(), suspect.getValue());
        changed = true;
      }
    }
    return changed;
  }

  private boolean makeRoom(long sentMs) {
    if (sentMsByPart.size() < Evidence.MAX_SUSPECTS) {
      return true;
    }
    Map.Entry<PromptPart, Long> earliest =
        Collections.min(sentMsByPart.entrySet(), Map.Entry.comparingByValue());
    if (earliest.getValue() >= sentMs) {
      return false;
    }
    sentMsByPart.remove(earliest.getKey());
    return true;
  }

  CrashReport toReport(long nowMs) {
    return new CrashReport(
        run.target(),
        run.incarnation(),
        Math.max(0, nowMs - crashedMs),
        sentMsByPart.entrySet().stream()
            .map(e -> new SuspectPart(e.getKey(), Math.max(0, nowMs - e.getValue())))
            .toList());
  }
}
