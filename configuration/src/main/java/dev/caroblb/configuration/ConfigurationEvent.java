package dev.caroblb.configuration;

import java.util.Locale;

/** Counted event of the configuration duty. */
public enum ConfigurationEvent {
  /**
   * An answer was for an earlier process of this instance, or for a request that was already
   * answered or has expired.
   */
  ANSWER_IGNORED,
  /**
   * A chunk did not start at the cursor of the entry, or the staged files belong to a later publish
   * than the number of the answer.
   */
  CHUNK_IGNORED,
  /** This software version could not parse an accepted file, so the number was not installed. */
  INSTALL_FAILED,
  /** A number smaller than the installed one was received. */
  SMALLER_NUMBER_IGNORED,
  /** The consumer of views was full; the view is offered again later. */
  VIEW_DELAYED,
  /** A message to another instance was dropped because the transport was full. */
  SEND_DROPPED,
  /** The replica that was asked did not answer a renewal request in time. */
  RENEWAL_UNANSWERED,
  /** A publish was refused or ignored because too many publishes are pending. */
  PUBLISH_OVERLOADED,
  /** No answer to a publish arrived within its time limit. */
  PUBLISH_UNANSWERED,
  /** The control group could not take a command; it is proposed again later. */
  PROPOSAL_DELAYED;

  /** Name of the counter. */
  public String wireName() {
    return name().toLowerCase(Locale.ROOT);
  }
}
