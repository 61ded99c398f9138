package dev.caroblb.configuration;

import dev.caroblb.core.InstanceId;
import java.util.Optional;

/** Message between the configuration duties of two instances. */
public sealed interface PeerMessage {
  /**
   * Request of an entry for a configuration lease.
   *
   * @param incarnation identity of the process; answers to an earlier process are ignored
   * @param sequence number of the request, repeated in the answer
   * @param installed number of the configuration under which the entry admits calls
   * @param cursor cursor after the files that the entry has installed or staged
   */
  record RenewRequest(String incarnation, long sequence, long installed, FileCursor cursor)
      implements PeerMessage {}

  /**
   * Answer of the leader. It grants a lease if the chunk is the last one and the entry has
   * installed {@code number} or a greater number.
   */
  record RenewAnswer(String incarnation, long sequence, long number, FileChunk chunk)
      implements PeerMessage {}

  /** Answer of an instance that is not the acting leader, with the leader as far as it is known. */
  record LeaderHint(Optional<InstanceId> leader) implements PeerMessage {}

  /** A publish forwarded to the leader; {@code id} is unique within the incarnation. */
  record PublishForward(String incarnation, long id, Publish publish) implements PeerMessage {}

  /** Answer of the leader to a forwarded publish. */
  record PublishReply(String incarnation, long id, PublishAnswer answer) implements PeerMessage {}
}
