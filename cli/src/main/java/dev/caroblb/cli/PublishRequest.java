package dev.caroblb.cli;

import java.util.List;

/**
 * Body of a publish request; the components are the JSON fields.
 *
 * @param number publish number, greater than the one in force
 * @param request ID of this publish; resending it under the same ID is safe
 * @param files the team files
 */
record PublishRequest(long number, String request, List<File> files) {
  PublishRequest {
    files = List.copyOf(files);
  }

  /** A team file. */
  record File(String name, String text) {}
}
