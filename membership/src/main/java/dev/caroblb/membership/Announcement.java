package dev.caroblb.membership;

import dev.caroblb.core.FailureDomain;
import dev.caroblb.core.IpEndpoints;
import dev.caroblb.core.SoftwareVersion;
import dev.caroblb.core.TargetId;
import java.util.List;

/**
 * Periodic report of a target about itself.
 *
 * @param target name of the target
 * @param incarnation identity of one run of the target, larger for each later run
 * @param sequence number of the announcement within the incarnation
 * @param kind engine or plain service
 * @param domain failure domain of the target
 * @param address address that calls are sent to, {@code IP:port}
 * @param serves models as formatted by {@code ModelId.toString()}, or names of services
 * @param leaving whether the target is shutting down and takes no new work; never reset within the
 *     incarnation
 * @param load load at the time of the announcement
 * @param cacheEvents cache events since the previous announcement
 * @param warmUpLeftMs time in milliseconds, from the announcement on, for which the target stays
 *     cold; 0 if it is warm
 * @param softwareVersion version of the software that the target runs
 */
public record Announcement(
    TargetId target,
    long incarnation,
    long sequence,
    TargetKind kind,
    FailureDomain domain,
    String address,
    List<String> serves,
    boolean leaving,
    TargetLoad load,
    List<CacheEvent> cacheEvents,
    long warmUpLeftMs,
    SoftwareVersion softwareVersion) {
  public static final int MAX_ADDRESS_LENGTH = 255;
  public static final int MAX_SERVES = 128;
  public static final int MAX_SERVED_NAME_LENGTH = 192;

  /** Limits an announcement to a few KiB; events beyond the limit count as lost. */
  public static final int MAX_CACHE_EVENTS = 256;

  /** The announcement of a warm target that states no software version. */
  public Announcement(
      TargetId target,
      long incarnation,
      long sequence,
      TargetKind kind,
      FailureDomain domain,
      String address,
      List<String> serves,
      boolean leaving,
      TargetLoad load,
      List<CacheEvent> cacheEvents) {
    this(
        target,
        incarnation,
        sequence,
        kind,
        domain,
        address,
        serves,
        leaving,
        load,
        cacheEvents,
        0,
        SoftwareVersion.UNSTATED);
  }

  public Announcement {
    serves = List.copyOf(serves);
    cacheEvents = List.copyOf(cacheEvents);
    if (incarnation < 0 || sequence < 0 || warmUpLeftMs < 0) {
      throw new IllegalArgumentException(
          "incarnation, sequence and warm-up of target " + target + " must not be negative");
    }
    if (address.length() > MAX_ADDRESS_LENGTH || IpEndpoints.parseUnicast(address).isEmpty()) {
      throw new IllegalArgumentException(
          "address of target " + target + " is not the IP:port of a machine");
    }
    if (serves.size() > MAX_SERVES || cacheEvents.size() > MAX_CACHE_EVENTS) {
      throw new IllegalArgumentException(
          "target "
              + target
              + " announces too much; send at most "
              + MAX_SERVES
              + " names and "
              + MAX_CACHE_EVENTS
              + " cache events");
    }
    for (String name : serves) {
      if (name.isEmpty() || name.length() > MAX_SERVED_NAME_LENGTH) {
        throw new IllegalArgumentException(
            "target "
                + target
                + " serves a name that does not have 1 to "
                + MAX_SERVED_NAME_LENGTH
                + " characters");
      }
    }
  }

  /**
   * Whether this later announcement has no news except that the target is still alive. A warm-up
   * that gets shorter is no news; a longer one means that the target is cold again.
   */
  boolean onlyRefreshes(Announcement earlier) {
    return cacheEvents.isEmpty()
        && incarnation == earlier.incarnation
        && kind == earlier.kind
        && domain.equals(earlier.domain)
        && address.equals(earlier.address)
        && serves.equals(earlier.serves)
        && leaving == earlier.leaving
        && softwareVersion.equals(earlier.softwareVersion)
        && warmUpLeftMs <= earlier.warmUpLeftMs
        && load.equals(earlier.load);
  }

  /** Returns the same announcement, marked as leaving. */
  Announcement asLeaving() {
    return new Announcement(
        target,
        incarnation,
        sequence,
        kind,
        domain,
        address,
        serves,
        true,
        load,
        cacheEvents,
        warmUpLeftMs,
        softwareVersion);
  }

  TargetSummary summary() {
    return new TargetSummary(target, incarnation, sequence, leaving);
  }
}
