package dev.caroblb.forwarding.quarantine;

import dev.caroblb.core.TargetId;
import java.util.List;

/**
 * A possible crash of one run of an engine.
 *
 * @param target the engine
 * @param incarnation the run of the engine
 * @param ageMs time in milliseconds since the crash was seen
 * @param suspects shared parts of the requests that had no response content yet
 */
public record CrashReport(
    TargetId target, long incarnation, long ageMs, List<SuspectPart> suspects) {
  public CrashReport {
    suspects = List.copyOf(suspects);
  }
}
