package dev.caroblb.configcheck.routes;

import dev.caroblb.routing.Route;

/** Places of entries in findings. */
final class Places {
  static final String DOCUMENT = "document";
  static final String LIMITS = "limits of callers";

  private Places() {}

  static String of(Route route) {
    return "route " + route.name();
  }

  static String of(ServiceDraft service) {
    return "service " + service.service().name();
  }

  static String of(WorkspaceDraft workspace) {
    return "workspace " + workspace.workspace().name();
  }
}
