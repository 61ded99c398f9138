package dev.caroblb.resumption;

import dev.caroblb.core.PeerEnvelope;

/** Input of the resumption handler. */
public sealed interface ResumptionMessage {
  /** A message from another instance. */
  record FromPeer(PeerEnvelope<PeerMessage> received) implements ResumptionMessage {}
}
