package dev.caroblb.transport;

import java.util.Optional;

/** Module that a frame is addressed to. The numbers are part of the wire protocol. */
public enum Channel {
  MEMBERSHIP(1),
  AGREEMENT(2),
  CONFIGURATION(3),
  IDEMPOTENCY(4),
  FORWARDING(5),
  SCHEDULING(6),
  PACING(7),
  EVACUATION(8),
  RESUMPTION(9);

  private final int number;

  Channel(int number) {
    this.number = number;
  }

  int number() {
    return number;
  }

  static Optional<Channel> of(int number) {
    for (Channel channel : values()) {
      if (channel.number == number) {
        return Optional.of(channel);
      }
    }
    return Optional.empty();
  }
}
