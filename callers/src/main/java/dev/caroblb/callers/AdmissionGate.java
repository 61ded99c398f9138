package dev.caroblb.callers;

import dev.caroblb.core.Refusal;
import dev.caroblb.core.WorkspaceId;
import java.util.Optional;

/** Tells whether this instance may admit calls now, and under which configuration. */
public interface AdmissionGate {
  /** Why no call may be admitted now; empty when calls may be admitted. */
  Optional<Refusal> closed();

  Optional<WorkspaceAccess> workspace(WorkspaceId workspace);
}
