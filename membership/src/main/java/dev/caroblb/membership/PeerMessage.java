package dev.caroblb.membership;

import dev.caroblb.core.FailureDomain;
import dev.caroblb.core.InstanceId;
import java.util.List;
import java.util.Optional;

/** Messages that the membership duties of two instances exchange. */
public sealed interface PeerMessage {
  /**
   * Sign of life of an instance.
   *
   * @param incarnation identity of this run of the instance
   * @param sequence number of the heartbeat within the incarnation
   * @param state whether the instance offers itself to new callers
   * @param configuration number of the configuration in force at the instance
   * @param domain failure domain of the instance
   * @param address where callers connect, empty when the instance is no entry
   * @param sentAtMs monotonic time of the sender, which the receiver returns in an {@link Echo}
   * @param contacts instances that others may contact, as far as the sender knows
   */
  record Heartbeat(
      long incarnation,
      long sequence,
      InstanceState state,
      long configuration,
      FailureDomain domain,
      String address,
      long sentAtMs,
      List<InstanceId> contacts)
      implements PeerMessage {
    public Heartbeat {
      contacts = List.copyOf(contacts);
    }
  }

  /** Announcements that are forwarded or were asked for. */
  record Records(Optional<Echo> echo, List<AgedAnnouncement> records) implements PeerMessage {
    public Records {
      records = List.copyOf(records);
    }
  }

  /** The latest announcement of every target that the sender knows. */
  record Digest(List<TargetSummary> targets) implements PeerMessage {
    public Digest {
      targets = List.copyOf(targets);
    }
  }

  /** Asks for every announcement that is later than the given one; sequence -1 for none. */
  record Request(List<TargetSummary> known) implements PeerMessage {
    public Request {
      known = List.copyOf(known);
    }
  }
}
