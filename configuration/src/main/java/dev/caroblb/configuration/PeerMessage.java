package dev.caroblb.configuration;

import dev.caroblb.core.InstanceId;
import java.util.Optional;

/** Message of the configuration duty to the same duty of another instance. */
public sealed interface PeerMessage {
  /**
   * Request of an entry for a configuration lease.
   *
   * @param incarnation identity of the process; answers to an earlier process are ignored
   * @param sequence number of the request, which its answer repeats
   * @param installed number under which the entry admits calls
   * @param cursor position behind the files that the entry holds
   */
  record RenewRequest(String incarnation, long sequence, long installed, FileCursor cursor)
      implements PeerMessage {}

  /**
   * Answer of the leader. It grants a lease if its chunk is the last one and the entry has
   * installed {@code number} or a greater one.
   */
  record RenewAnswer(String incarnation, long sequence, long number, FileChunk chunk)
      implements PeerMessage {}

  /** Answer of an instance that does not act as the leader, with the leader it knows of. */
  record LeaderView(Optional<InstanceId> leader) implements PeerMessage {}

  /** A publish on its way to the leader; {@code id} is unique within the incarnation. */
  record PublishForward(String incarnation, long id, Publish publish) implements PeerMessage {}

  /** Answer of the leader to a forwarded publish. */
  record PublishReply(String incarnation, long id, PublishAnswer answer) implements PeerMessage {}
}
