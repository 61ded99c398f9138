package dev.caroblb.agreement.codec;

import dev.caroblb.agreement.EntryKind;

/** Numbers of the entry kinds in messages; they never change their meaning. */
final class KindNumbers {
  private static final int COMMAND = 0;
  private static final int MEMBERS = 1;
  private static final int NO_OP = 2;

  private KindNumbers() {}

  static int of(EntryKind kind) {
    return switch (kind) {
      case COMMAND -> COMMAND;
      case MEMBERS -> MEMBERS;
      case NO_OP -> NO_OP;
    };
  }

  static EntryKind kind(int number) {
    return switch (number) {
      case COMMAND -> EntryKind.COMMAND;
      case MEMBERS -> EntryKind.MEMBERS;
      case NO_OP -> EntryKind.NO_OP;
      default -> throw new IllegalArgumentException("entry kind " + number + " is unknown");
    };
  }
}
