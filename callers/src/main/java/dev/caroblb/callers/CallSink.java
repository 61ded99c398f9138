package dev.caroblb.callers;

import dev.caroblb.core.CallRequest;
import dev.caroblb.core.GenerationId;
import dev.caroblb.core.Outlet;
import dev.caroblb.core.Refusal;
import dev.caroblb.core.WorkspaceId;
import dev.caroblb.streams.CallerEvent;
import java.util.Optional;

/** Takes decoded calls to the duties that run them. */
public interface CallSink {
  /** Hands over a new call; a refusal means that it was not taken. */
  Optional<Refusal> submit(CallRequest call, Outlet<CallerEvent> caller);

  /** Hands over the resume of a generation; a refusal means that it was not taken. */
  Optional<Refusal> resume(ResumeRequest resume, Outlet<CallerEvent> caller);

  /** The connection of the caller has room again. */
  void ready(long call);

  /** The connection of the caller is lost. */
  void gone(long call);

  /**
   * Continuation of a generation.
   *
   * @param id identity within this entry instance
   * @param afterSequence last token that the caller has
   * @param deadlineMs monotonic time by which the answer must be complete
   */
  record ResumeRequest(
      long id,
      WorkspaceId workspace,
      GenerationId generation,
      long afterSequence,
      long deadlineMs) {}
}
