package dev.caroblb.forwarding;

import dev.caroblb.core.TargetId;
import java.util.List;
import java.util.Optional;

/** Messages by which instances share the choice of targets. */
public sealed interface PeerMessage {
  /**
   * Work that the sender has given to targets; the receiver states that of others in return.
   *
   * @param upToGrant number of the last answer that the work includes
   * @param work one entry for each target with work
   */
  record OwnWork(long upToGrant, List<TargetWork> work) implements PeerMessage {
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

  /**
   * Asks for a target.
   *
   * @param ticket number of the question, which grows with each question of an instance
   * @param need what the request needs
   */
  record PlacementAsked(long ticket, PlacementNeed need) implements PeerMessage {}

  /** Tells that a request waits for room; an answer with a target follows. */
  record PlacementQueued(long ticket) implements PeerMessage {}

  /**
   * Answers a question for a target.
   *
   * @param ticket number of the question
   * @param grant number of the answer, which grows with each answer to an instance
   * @param target the chosen target, if one takes requests
   * @param backup second engine that gets a copy of the generation's memory
   */
  record PlacementGiven(
      long ticket, long grant, Optional<TargetId> target, Optional<TargetId> backup)
      implements PeerMessage {}

  /** Withdraws a question whose request waits for room. */
  record PlacementDropped(long ticket) implements PeerMessage {}
}
