package dev.caroblb.callers;

import dev.caroblb.core.GenerationId;
import dev.caroblb.core.Names;
import dev.caroblb.core.Refusal;
import dev.caroblb.core.RefusalReason;
import dev.caroblb.core.WorkspaceId;
import dev.caroblb.http.IncomingRequest;
import dev.caroblb.http.Reply;
import io.vavr.control.Either;
import java.util.List;
import java.util.Optional;

/** Resumes a generation: {@code POST /v1/generations/{generation}/resume}. */
final class ResumeRoute implements Route {
  private static final int PATH_LENGTH = 4;
  private static final long DEFAULT_TIMEOUT_MS = 600_000;
  private static final String WORKSPACE_HEADER = "Caroblb-Workspace";

  private final CallSubmitter submitter;

  ResumeRoute(CallSubmitter submitter) {
    this.submitter = submitter;
  }

  @Override
  public boolean matches(String method, List<String> path) {
    return method.equals("POST")
        && path.size() == PATH_LENGTH
        && path.get(0).equals("v1")
        && path.get(1).equals("generations")
        && path.get(3).equals("resume");
  }

  @Override
  public void handle(IncomingRequest request, List<String> path, Reply reply) {
    submitter.submit(
        decode(request, path.get(2)), CallSink.ResumeRequest::id, submitter.calls()::resume, reply);
  }

  private Either<Refusal, CallSink.ResumeRequest> decode(IncomingRequest request, String text) {
    Optional<GenerationId> generation = GenerationId.parse(text);
    if (generation.isEmpty()) {
      return malformed("the generation id is invalid");
    }
    Optional<String> name = request.header(WORKSPACE_HEADER).filter(Names::valid);
    if (name.isEmpty()) {
      return malformed("the header " + WORKSPACE_HEADER + " must name the workspace");
    }
    WorkspaceId workspace = new WorkspaceId(name.get());
    Optional<WorkspaceAccess> access = submitter.gate().workspace(workspace);
    if (access.isEmpty() || !BearerTokens.matches(request, access.get().tokenSha256())) {
      return Either.left(Refusal.of(RefusalReason.UNAUTHENTICATED));
    }
    Optional<Long> after = sequence(text, request.header("Last-Event-ID").orElse(""));
    if (after.isEmpty()) {
      return malformed("Last-Event-ID must be the id of the last token received, or 0");
    }
    return Deadlines.timeoutMs(request, DEFAULT_TIMEOUT_MS)
        .map(
            timeoutMs ->
                new CallSink.ResumeRequest(
                    submitter.connections().nextId(),
                    workspace,
                    generation.get(),
                    after.get(),
                    submitter.clock().nowMs() + timeoutMs));
  }

  private static Either<Refusal, CallSink.ResumeRequest> malformed(String cause) {
    return Either.left(Refusal.of(RefusalReason.MALFORMED, cause));
  }

  /**
   * Parses the sequence number of the last token, given alone or as a whole event id that ends in
   * it. An event id of another generation is refused: the caller would continue that generation
   * with the tokens of this one.
   */
  private static Optional<Long> sequence(String generation, String eventId) {
    String own = generation + "/";
    String number = eventId.startsWith(own) ? eventId.substring(own.length()) : eventId;
    try {
      long value = Long.parseLong(number);
      return value < 0 ? Optional.empty() : Optional.of(value);
    } catch (NumberFormatException e) {
      return Optional.empty();
    }
  }
}
