package dev.caroblb.streams;

import dev.caroblb.core.Payload;
import dev.caroblb.core.Refusal;
import java.util.List;

/** A call between its dispatch and its final event. */
interface RunningCall {
  /** Identity of the call within this entry instance. */
  long id();

  /** Sends the first request. */
  void start(long nowMs);

  /** Processes events of the current link. */
  void onEngineEvents(long link, List<EngineEvent> events, long nowMs);

  /** Offers again what the caller had no room for. */
  void onCallerReady(long nowMs);

  /** The caller went away. */
  void onCallerGone(long nowMs);

  /** Checks time limits. */
  void onTick(long nowMs);

  /** Ends the call because the instance stops. */
  void onStop(long nowMs);

  /** Whether nothing remains to be done. */
  boolean finished();

  /** The key of the call is reserved durably. */
  default void onKeyGranted(long nowMs) {}

  /** The call has a stored outcome. */
  default void onKeyOutcome(int status, String contentType, Payload body, long nowMs) {}

  /** The key cannot be used. */
  default void onKeyRefused(Refusal refusal, long nowMs) {}

  /** The reservation was given back, durably when {@code committed}. */
  default void onKeyReleased(boolean committed, long nowMs) {}
}
