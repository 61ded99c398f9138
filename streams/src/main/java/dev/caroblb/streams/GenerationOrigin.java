package dev.caroblb.streams;

import dev.caroblb.core.CallRequest;
import dev.caroblb.core.GenerationId;
import dev.caroblb.core.WorkspaceId;
import java.util.Optional;

/**
 * Origin of a generation call: a new generation or a resume by the caller.
 *
 * @param id identity of the call within this entry instance
 * @param call the call; absent for a resume by the caller
 * @param workspace workspace that owns the generation
 * @param endpoint target that runs the generation
 * @param generation the generation
 * @param enginePriority priority at the engine, unused for a resume
 * @param afterSequence sequence number of the last token that the caller already has
 * @param deadlineMs monotonic time by which the answer must be complete
 */
record GenerationOrigin(
    long id,
    Optional<CallRequest> call,
    WorkspaceId workspace,
    Endpoint endpoint,
    GenerationId generation,
    int enginePriority,
    long afterSequence,
    long deadlineMs) {

  /** A new generation for a call. */
  static GenerationOrigin of(StreamsMessage.Start start, GenerationId generation) {
    CallRequest call = start.call();
    return new GenerationOrigin(
        call.id(),
        Optional.of(call),
        call.workspace(),
        start.endpoint(),
        generation,
        start.enginePriority(),
        0,
        call.deadlineMs());
  }

  /** A generation that the caller resumes after a lost connection. */
  static GenerationOrigin of(StreamsMessage.ResumeRequested resume) {
    return new GenerationOrigin(
        resume.id(),
        Optional.empty(),
        resume.workspace(),
        resume.endpoint(),
        resume.generation(),
        0,
        resume.afterSequence(),
        resume.deadlineMs());
  }

  /** Whether the answer is an event stream. */
  boolean streams() {
    return call.map(c -> c.policy().streams()).orElse(true);
  }

  /** Whether a new generation may replace this one as long as nothing was delivered. */
  boolean repeatable() {
    return call.map(c -> c.policy().repeatable()).orElse(false);
  }
}
