package dev.caroblb.callers;

import dev.caroblb.core.CallPolicy;
import dev.caroblb.core.CallRequest;
import dev.caroblb.core.Names;
import dev.caroblb.core.Refusal;
import dev.caroblb.core.RefusalReason;
import dev.caroblb.core.WorkspaceId;
import dev.caroblb.http.IncomingRequest;
import dev.caroblb.http.Reply;
import io.vavr.control.Either;
import java.util.List;
import java.util.Optional;

/** Starts a call: {@code POST /v1/workspaces/{workspace}/calls/{call}}. */
final class CallRoute implements Route {
  private static final int PATH_LENGTH = 5;

  private final CallSubmitter submitter;

  CallRoute(CallSubmitter submitter) {
    this.submitter = submitter;
  }

  @Override
  public boolean matches(String method, List<String> path) {
    return method.equals("POST")
        && path.size() == PATH_LENGTH
        && path.get(0).equals("v1")
        && path.get(1).equals("workspaces")
        && path.get(3).equals("calls");
  }

  @Override
  public void handle(IncomingRequest request, List<String> path, Reply reply) {
    submitter.submit(
        decode(request, path.get(2), path.get(4)),
        CallRequest::id,
        submitter.calls()::submit,
        reply);
  }

  private Either<Refusal, CallRequest> decode(
      IncomingRequest request, String workspaceName, String callName) {
    Optional<Refusal> closed = submitter.gate().closedReason();
    if (closed.isPresent()) {
      return Either.left(closed.get());
    }
    if (!Names.valid(workspaceName)) {
      return Either.left(Refusal.of(RefusalReason.MALFORMED, "the workspace name is invalid"));
    }
    WorkspaceId workspace = new WorkspaceId(workspaceName);
    Optional<WorkspaceAccess> access = submitter.gate().workspace(workspace);
    if (access.isEmpty()) {
      return Either.left(
          Refusal.of(RefusalReason.UNKNOWN_WORKSPACE, "there is no workspace " + workspaceName));
    }
    if (!BearerTokens.matches(request, access.get().tokenSha256())) {
      return Either.left(Refusal.of(RefusalReason.UNAUTHENTICATED));
    }
    Optional<CallPolicy> policy = access.get().call(callName);
    if (policy.isEmpty()) {
      return Either.left(
          Refusal.of(
              RefusalReason.UNKNOWN_CALL,
              "workspace " + workspaceName + " has no call with that name"));
    }
    return decode(request, workspace, policy.get());
  }

  private Either<Refusal, CallRequest> decode(
      IncomingRequest request, WorkspaceId workspace, CallPolicy policy) {
    Optional<String> key = request.header("Idempotency-Key");
    if (key.isEmpty() && !policy.repeatable()) {
      return Either.left(
          Refusal.of(RefusalReason.KEY_REQUIRED, "call " + policy.call() + " is not repeatable"));
    }
    Either<Refusal, Long> timeout = Deadlines.timeoutMs(request, policy.defaultTimeoutMs());
    return timeout.map(
        timeoutMs ->
            new CallRequest(
                submitter.connections().nextId(),
                workspace,
                policy,
                submitter.clock().nowMs() + timeoutMs,
                key,
                request.body()));
  }
}
