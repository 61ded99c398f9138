package dev.caroblb.streams;

import dev.caroblb.core.Payload;
import dev.caroblb.core.Refusal;
import java.util.List;

/** A call between dispatch and final event. */
interface RunningCall {
  /** Identity of the call within this entry instance. */
  long id();

  /** Sends the first request. */
  void start(long nowMs);

  /** Processes events of the current link. */
  void onEngineEvents(long link, List<EngineEvent> events, long nowMs);

  /** Continues delivery, since the caller accepts events again. */
  void onCallerReady(long nowMs);

  /** The caller disconnected. */
  void onCallerGone(long nowMs);

  /** Checks time limits. */
  void onTick(long nowMs);

  /** Ends the call because the instance is stopping. */
  void onStop(long nowMs);

  /** Whether the call can be removed. */
  boolean finished();

  /** The key of the call is reserved durably. */
  default void onKeyGranted(long nowMs) {}

  /** The call has a stored outcome. */
  default void onKeyOutcome(int status, String contentType, Payload body, long nowMs) {}

  /** The key cannot be used. */
  default void onKeyRefused(Refusal refusal, long nowMs) {}

  /** The reservation was released, durably if {@code committed}. */
  default void onKeyReleased(boolean committed, long nowMs) {}
}
