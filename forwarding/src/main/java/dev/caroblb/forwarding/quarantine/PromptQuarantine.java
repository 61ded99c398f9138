package dev.caroblb.forwarding.quarantine;

import dev.caroblb.core.LogLine;
import dev.caroblb.core.TargetId;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.stream.Collectors;

/**
 * The parts of prompts that crash engines, from the evidence of this instance and of others. Each
 * instance decides by the same rule, so an instance that is cut off decides on what it knows.
 */
public final class PromptQuarantine {
  /** Time in milliseconds for which a part is kept from engines after its last crash. */
  public static final long QUARANTINE_MS = 600_000;

  /**
   * Time in milliseconds for which a crash is remembered. It exceeds the quarantine, so that a part
   * that still crashes engines after its quarantine is quarantined again by one crash.
   */
  private static final long MEMORY_MS = 2 * QUARANTINE_MS;

  private static final int MAX_LOGGED_TARGETS = 8;

  private static final System.Logger LOGGER = System.getLogger(PromptQuarantine.class.getName());

  /** Evidence of this instance, which it reports. */
  private final CrashLog own = new CrashLog();

  /** Evidence of all instances. */
  private final CrashLog all = new CrashLog();

  private final CrashAttribution finder = new CrashAttribution(all);
  private List<CrashCause> causes = List.of();

  /**
   * Records that an engine broke off a request before any content of its response. Returns whether
   * this is new evidence that other instances need soon. The first crash with a fingerprint is not:
   * most such requests were only in progress at the target, and are answered elsewhere.
   */
  public boolean crashed(
      TargetId target, long incarnation, List<PromptPart> parts, long sentMs, long nowMs) {
    if (parts.isEmpty()) {
      return false;
    }
    EngineCrash.EngineRun run = new EngineCrash.EngineRun(target, incarnation);
    Map<PromptPart, Long> suspects = new LinkedHashMap<>();
    parts.forEach(part -> suspects.put(part, sentMs));
    own.add(run, nowMs, suspects);
    boolean changed = all.add(run, nowMs, suspects);
    if (changed) {
      log(
          LogLine.of("prompt.suspected")
              .with("target", target.name())
              .with("parts", PromptPart.toLogValue(parts)));
      decide();
    }
    return changed && parts.stream().anyMatch(this::recurs);
  }

  private boolean recurs(PromptPart part) {
    return !RequestFingerprint.isFingerprint(part) || all.crashesWith(part) > 1;
  }

  /**
   * Records a heartbeat of an engine. One that arrives some seconds after the engine broke off a
   * request shows that it did not crash, and withdraws the evidence.
   */
  public void alive(TargetId target, long incarnation, long nowMs) {
    EngineCrash.EngineRun run = new EngineCrash.EngineRun(target, incarnation);
    own.alive(run, nowMs);
    if (all.alive(run, nowMs)) {
      log(LogLine.of("prompt.crash_withdrawn").with("target", target.name()));
      decide();
    }
  }

  /**
   * Records that an engine generated on the parts of a prompt. Returns whether this is new
   * evidence. Of fingerprints only suspects are recorded: there are as many as requests, and they
   * would displace the parts of prompts.
   */
  public boolean answered(List<PromptPart> parts, long nowMs) {
    boolean changed = false;
    for (PromptPart part : parts) {
      if (RequestFingerprint.isFingerprint(part) && all.crashesWith(part) == 0) {
        continue;
      }
      own.answered(part, nowMs);
      changed |= all.answered(part, nowMs);
    }
    if (changed) {
      decide();
    }
    return changed;
  }

  /** Adds the evidence of another instance. Returns whether any of it is new. */
  public boolean received(Evidence evidence, long nowMs) {
    boolean changed = false;
    for (CrashReport crash : evidence.crashes()) {
      Map<PromptPart, Long> suspects = new LinkedHashMap<>();
      for (SuspectPart suspect : crash.suspects()) {
        suspects.put(suspect.part(), nowMs - suspect.sentAgeMs());
      }
      long crashedMs = nowMs - crash.ageMs();
      if (crashedMs >= nowMs - MEMORY_MS) {
        changed |=
            all.add(
                new EngineCrash.EngineRun(crash.target(), crash.incarnation()),
                crashedMs,
                suspects);
      }
    }
    for (AnsweredPart answer : evidence.answered()) {
      changed |= all.answered(answer.part(), nowMs - answer.ageMs());
    }
    if (changed) {
      decide();
    }
    return changed;
  }

  private void decide() {
    List<List<PromptPart>> before = causes.stream().map(CrashCause::parts).toList();
    causes = finder.find();
    Set<PromptPart> quarantined = new HashSet<>();
    causes.forEach(cause -> quarantined.addAll(cause.parts()));
    own.setQuarantined(quarantined);
    all.setQuarantined(quarantined);
    List<List<PromptPart>> after = causes.stream().map(CrashCause::parts).toList();
    for (CrashCause cause : causes) {
      if (!before.contains(cause.parts())) {
        log(
            LogLine.of("prompt.quarantined")
                .with("parts", PromptPart.toLogValue(cause.parts()))
                .with("crashes", cause.crashes())
                .with("targets", targets(cause.parts().get(0))));
      }
    }
    for (List<PromptPart> parts : before) {
      if (!after.contains(parts)) {
        log(LogLine.of("prompt.cleared").with("parts", PromptPart.toLogValue(parts)));
      }
    }
  }

  private String targets(PromptPart part) {
    return all.crashes().stream()
        .filter(crash -> all.suspected(part, crash))
        .map(crash -> crash.run().target().name())
        .limit(MAX_LOGGED_TARGETS)
        .collect(Collectors.joining("+"));
  }

  private static void log(LogLine line) {
    LOGGER.log(System.Logger.Level.INFO, line.toString());
  }

  /** Why a request with these parts must not be sent; empty if it may. */
  public Optional<Quarantine> blocking(List<PromptPart> parts, long nowMs) {
    for (CrashCause cause : causes) {
      long leftMs = cause.lastCrashMs() + QUARANTINE_MS - nowMs;
      if (leftMs > 0 && cause.matches(parts)) {
        return Optional.of(new Quarantine(cause.parts(), leftMs));
      }
    }
    return Optional.empty();
  }

  /** Whether any part is quarantined. */
  public boolean isActive() {
    return !causes.isEmpty();
  }

  /** Forgets old evidence. */
  public void expire(long nowMs) {
    own.expire(nowMs - MEMORY_MS);
    if (all.expire(nowMs - MEMORY_MS)) {
      decide();
    }
  }

  /** Evidence of this instance, including its answers to the suspects of others. */
  public Evidence ownEvidence(long nowMs) {
    return own.toEvidence(all.suspects(), nowMs);
  }

  /** Evidence of all instances. */
  public Evidence allEvidence(long nowMs) {
    return all.toEvidence(all.suspects(), nowMs);
  }
}
