package dev.caroblb.forwarding.quarantine;

import java.util.List;

/**
 * Why a request is not sent to engines.
 *
 * @param parts parts of its prompt of which one crashes engines
 * @param leftMs time in milliseconds until requests with them are admitted again
 */
public record Quarantine(List<PromptPart> parts, long leftMs) {
  public Quarantine {
    parts = List.copyOf(parts);
  }
}
