package dev.caroblb.forwarding;

import java.util.List;

/** Messages by which instances learn what the others have given to targets. */
public sealed interface PeerMessage {
  /**
   * Work that the sender has given to targets; the receiver answers with that of others.
   *
   * @param work one entry for each target with work
   */
  record OwnWork(List<TargetWork> work) implements PeerMessage {
    public OwnWork {
      work = List.copyOf(work);
    }
  }

  /**
   * Sum of the work of all instances other than the receiver.
   *
   * @param instances number of instances that serve callers, the receiver included
   * @param work one entry for each target with work
   */
  record OthersWork(int instances, List<TargetWork> work) implements PeerMessage {
    public OthersWork {
      work = List.copyOf(work);
    }
  }
}
