package dev.caroblb.streams;

import dev.caroblb.core.CallRequest;
import dev.caroblb.core.GenerationId;
import dev.caroblb.core.Outlet;
import dev.caroblb.core.Payload;
import dev.caroblb.core.Refusal;
import dev.caroblb.core.WorkspaceId;
import java.util.List;

/** Messages to the streams duty. */
public sealed interface StreamsMessage {
  /** A call was placed on a target; the engine preempts calls of lower priority first. */
  record Start(CallRequest call, Endpoint endpoint, int enginePriority, Outlet<CallerEvent> caller)
      implements StreamsMessage {}

  /** A caller resumes a generation, possibly one that another entry instance started. */
  record ResumeRequested(
      long id,
      WorkspaceId workspace,
      GenerationId generation,
      Endpoint endpoint,
      long afterSequence,
      long deadlineMs,
      Outlet<CallerEvent> caller)
      implements StreamsMessage {}

  /** Events of one link, in order. The adapter sends no more until they are acknowledged. */
  record EngineEvents(long link, List<EngineEvent> events) implements StreamsMessage {
    public EngineEvents {
      events = List.copyOf(events);
    }
  }

  /** The buffer of the caller accepts events again. */
  record CallerReady(long call) implements StreamsMessage {}

  /** The caller closed its connection. */
  record CallerGone(long call) implements StreamsMessage {}

  /** The reservation of the key is durable; the call may be sent to the target. */
  record KeyGranted(long call) implements StreamsMessage {}

  /** An earlier run of the same call stored this outcome. */
  record KeyOutcome(long call, int status, String contentType, Payload body)
      implements StreamsMessage {}

  /** The key cannot be used; the refusal says why. */
  record KeyRefused(long call, Refusal refusal) implements StreamsMessage {}

  /** The reservation was released; "not run" may be answered only if that is committed. */
  record KeyReleased(long call, boolean committed) implements StreamsMessage {}

  /** The time limit of the drain has passed: every running call ends with a final event. */
  record StopAll() implements StreamsMessage {}
}
