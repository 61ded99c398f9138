package dev.caroblb.configuration;

import java.util.Locale;

/** Event of the configuration duty that is counted. */
public enum ConfigurationEvent {
  /** An answer belonged to an earlier process, or its request was answered before or forgotten. */
  ANSWER_IGNORED,
  /** A chunk did not continue the files that the entry holds. */
  CHUNK_IGNORED,
  /**
   * An accepted file could not be read by this software version, so its number is not installed.
   */
  INSTALL_FAILED,
  /** A smaller number than the installed one was offered. */
  SMALLER_NUMBER_IGNORED,
  /** The consumer of views had no room; the view is offered again. */
  VIEW_DELAYED,
  /** A message to another instance found no room and was dropped. */
  SEND_DROPPED,
  /** No replica answered a renewal request in time. */
  RENEWAL_UNANSWERED,
  /** A publish was refused or left unanswered because too many wait. */
  PUBLISH_OVERLOADED,
  /** A publish reached its time limit without an answer. */
  PUBLISH_UNANSWERED,
  /** The control group had no room for a command; it is proposed again. */
  PROPOSAL_DELAYED;

  /** Name of the counter. */
  public String wireName() {
    return name().toLowerCase(Locale.ROOT);
  }
}
