package dev.caroblb.callers;

import dev.caroblb.core.CallRequest;
import dev.caroblb.core.GenerationId;
import dev.caroblb.core.Outlet;
import dev.caroblb.core.Refusal;
import dev.caroblb.core.WorkspaceId;
import dev.caroblb.streams.CallerEvent;
import java.util.Optional;

/** Hands decoded calls to the duties that run them. */
public interface CallSink {
  /** Submits a new call; returns a refusal if it was not accepted. */
  Optional<Refusal> submit(CallRequest call, Outlet<CallerEvent> caller);

  /** Submits the resume of a generation; returns a refusal if it was not accepted. */
  Optional<Refusal> resume(ResumeRequest resume, Outlet<CallerEvent> caller);

  /** The output buffer of the caller's connection has free space again. */
  void callerWritable(long call);

  /** The connection of the caller was lost. */
  void callerDisconnected(long call);

  /**
   * Request to resume a generation.
   *
   * @param id id, unique within this entry instance
   * @param afterSequence sequence number of the last token that the caller received
   * @param deadlineMs monotonic time by which the response must be complete
   */
  record ResumeRequest(
      long id,
      WorkspaceId workspace,
      GenerationId generation,
      long afterSequence,
      long deadlineMs) {}
}
