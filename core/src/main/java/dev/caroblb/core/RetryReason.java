package dev.caroblb.core;

import java.util.Locale;

/** Reasons for which an entry instance sends a call or a resume again. */
public enum RetryReason {
  CONNECT_FAILED,
  TARGET_REFUSED,
  LOST_BEFORE_FIRST_TOKEN,
  RESUME_AFTER_LOSS,
  RESUME_AFTER_GAP,
  RESUME_AFTER_STALL,
  TARGET_FAILED,
  STREAM_CONTINUED,
  KEY_LEADER_CHANGED;

  public String wireName() {
    return name().toLowerCase(Locale.ROOT);
  }
}
