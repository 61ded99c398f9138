package dev.caroblb.cli;

import java.util.List;

/**
 * Body of a publish.
 *
 * @param number publish number, greater than the one in force
 * @param request identity of this publish; sending it again under the same identity is safe
 * @param files the team files
 */
record PublishRequest(long number, String request, List<File> files) {
  PublishRequest {
    files = List.copyOf(files);
  }

  /** A team file. */
  record File(String name, String text) {}
}
