package dev.caroblb.membership;

import dev.caroblb.core.FailureDomain;
import dev.caroblb.core.InstanceId;
import java.util.List;
import java.util.Optional;

/** Message between the membership duties of two instances. */
public sealed interface PeerMessage {
  /**
   * Periodic message that shows that an instance is alive.
   *
   * @param incarnation identity of this run of the instance
   * @param sequence number of the heartbeat within the incarnation
   * @param state whether new callers may be directed to the instance
   * @param configuration number of the configuration installed at the instance
   * @param domain failure domain of the instance
   * @param address address that callers connect to; empty if the instance is not an entry
   * @param sentAtMs monotonic time of the sender, which the receiver returns in an {@link Echo}
   * @param contacts contacts that the sender knows, see {@link ContactTopology}
   * @param resources size of the instance and what is left of it; empty if it is not known
   */
  record Heartbeat(
      long incarnation,
      long sequence,
      InstanceState state,
      long configuration,
      FailureDomain domain,
      String address,
      long sentAtMs,
      List<InstanceId> contacts,
      Optional<InstanceResources> resources)
      implements PeerMessage {
    public Heartbeat {
      contacts = List.copyOf(contacts);
    }

    /** A heartbeat without resources. */
    public Heartbeat(
        long incarnation,
        long sequence,
        InstanceState state,
        long configuration,
        FailureDomain domain,
        String address,
        long sentAtMs,
        List<InstanceId> contacts) {
      this(
          incarnation,
          sequence,
          state,
          configuration,
          domain,
          address,
          sentAtMs,
          contacts,
          Optional.empty());
    }
  }

  /** Announcements that are forwarded or were requested. */
  record Records(Optional<Echo> echo, List<AgedAnnouncement> records) implements PeerMessage {
    public Records {
      records = List.copyOf(records);
    }
  }

  /** Summaries of the latest announcements that the sender knows, or of a part of them. */
  record Digest(List<TargetSummary> targets) implements PeerMessage {
    public Digest {
      targets = List.copyOf(targets);
    }
  }

  /**
   * Requests the announcements that are later than the given ones; a sequence of -1 means that the
   * sender has none for the target.
   */
  record Request(List<TargetSummary> known) implements PeerMessage {
    public Request {
      known = List.copyOf(known);
    }
  }
}
