package dev.caroblb.forwarding;

import dev.caroblb.core.RefusalReason;
import dev.caroblb.routing.Route;
import dev.caroblb.routing.RoutingTable;
import dev.caroblb.routing.Workspace;
import java.util.Optional;

/** Decides by the routing table whether a request that arrives is refused. */
final class CallAdmission {
  private CallAdmission() {}

  static Optional<Workspace> workspace(ForwardCall call, Optional<RoutingTable> table) {
    return table.flatMap(active -> call.key().flatMap(active::workspace));
  }

  /**
   * Returns the reason to refuse a request.
   *
   * @param refuseNew whether the instance stops
   * @param full whether as many requests run as may run at once
   */
  static Optional<RefusalReason> refusal(
      ForwardCall call,
      Optional<RoutingTable> table,
      Optional<Route> route,
      boolean refuseNew,
      boolean full) {
    if (table.isEmpty()) {
      return Optional.of(RefusalReason.NO_CONFIGURATION);
    }
    if (route.isEmpty()) {
      return Optional.of(RefusalReason.UNKNOWN_ROUTE);
    }
    boolean keyRequired = table.get().requiresKeys() && !route.get().keyless();
    if (keyRequired && workspace(call, table).isEmpty()) {
      return Optional.of(RefusalReason.UNKNOWN_KEY);
    }
    if (refuseNew) {
      return Optional.of(RefusalReason.DRAINING);
    }
    return full ? Optional.of(RefusalReason.STREAM_LIMIT) : Optional.empty();
  }
}
