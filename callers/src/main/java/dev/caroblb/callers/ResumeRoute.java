package dev.caroblb.callers;

import dev.caroblb.core.GenerationId;
import dev.caroblb.core.MillisClock;
import dev.caroblb.core.Names;
import dev.caroblb.core.Refusal;
import dev.caroblb.core.RefusalReason;
import dev.caroblb.core.WorkspaceId;
import dev.caroblb.http.IncomingRequest;
import dev.caroblb.http.Reply;
import io.vavr.control.Either;
import java.util.List;
import java.util.Optional;

/** Continues a generation: {@code POST /v1/generations/{generation}/resume}. */
final class ResumeRoute implements Route {
  private static final int PATH_LENGTH = 4;
  private static final long DEFAULT_DEADLINE_MS = 600_000;
  private static final String WORKSPACE_HEADER = "Caroblb-Workspace";

  private final AdmissionGate gate;
  private final CallSink calls;
  private final CallerConnections connections;
  private final RefusalCounter refusals;
  private final MillisClock clock;

  ResumeRoute(
      AdmissionGate gate,
      CallSink calls,
      CallerConnections connections,
      RefusalCounter refusals,
      MillisClock clock) {
    this.gate = gate;
    this.calls = calls;
    this.connections = connections;
    this.refusals = refusals;
    this.clock = clock;
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
    Either<Refusal, CallSink.ResumeRequest> decoded = decode(request, path.get(2));
    if (decoded.isLeft()) {
      refuse(reply, decoded.getLeft());
      return;
    }
    Optional<CallerConnection> connection = connections.open(decoded.get().id(), reply);
    if (connection.isEmpty()) {
      refuse(reply, Refusal.of(RefusalReason.STREAM_LIMIT));
      return;
    }
    Optional<Refusal> refusal = calls.resume(decoded.get(), connection.get());
    refusal.ifPresent(connection.get()::refuse);
  }

  private void refuse(Reply reply, Refusal refusal) {
    refusals.refused(refusal.reason());
    Answers.refuse(reply, refusal);
  }

  private Either<Refusal, CallSink.ResumeRequest> decode(IncomingRequest request, String text) {
    Optional<GenerationId> generation = GenerationId.parse(text);
    if (generation.isEmpty()) {
      return malformed("the generation identity is invalid");
    }
    Optional<String> name = request.header(WORKSPACE_HEADER).filter(Names::valid);
    if (name.isEmpty()) {
      return malformed("the header " + WORKSPACE_HEADER + " must name the workspace");
    }
    WorkspaceId workspace = new WorkspaceId(name.get());
    Optional<WorkspaceAccess> access = gate.workspace(workspace);
    if (access.isEmpty() || !Tokens.matches(request, access.get().tokenSha256())) {
      return Either.left(Refusal.of(RefusalReason.UNAUTHENTICATED));
    }
    Optional<Long> after = sequence(text, request.header("Last-Event-ID").orElse(""));
    if (after.isEmpty()) {
      return malformed("Last-Event-ID must be the id of the last token received, or 0");
    }
    return Deadlines.allowedMs(request, DEFAULT_DEADLINE_MS)
        .map(
            allowedMs ->
                new CallSink.ResumeRequest(
                    connections.nextId(),
                    workspace,
                    generation.get(),
                    after.get(),
                    clock.nowMs() + allowedMs));
  }

  private static Either<Refusal, CallSink.ResumeRequest> malformed(String cause) {
    return Either.left(Refusal.of(RefusalReason.MALFORMED, cause));
  }

  /**
   * Accepts the sequence number alone or the whole event id, which ends in it. An id of another
   * generation is refused, since the caller would join two generations into one answer.
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
