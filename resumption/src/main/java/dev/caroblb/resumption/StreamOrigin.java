package dev.caroblb.resumption;

import dev.caroblb.core.SoftwareVersion;

/**
 * What began a stream; it goes on only there.
 *
 * @param service the service
 * @param version software version of the target
 */
public record StreamOrigin(String service, SoftwareVersion version) {
  /** Maximum length of the name of a service in bytes; longer ones are not recorded. */
  public static final int MAX_SERVICE_BYTES = 192;
}
