package dev.caroblb.callers;

import dev.caroblb.core.Refusal;
import dev.caroblb.core.WorkspaceId;
import java.util.Optional;

/** Decides whether this instance may admit calls, and returns the configuration for them. */
public interface AdmissionGate {
  /** Reason why no call may be admitted now; empty if calls are admitted. */
  Optional<Refusal> closedReason();

  Optional<WorkspaceAccess> workspace(WorkspaceId workspace);
}
