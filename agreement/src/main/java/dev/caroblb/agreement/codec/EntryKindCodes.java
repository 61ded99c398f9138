package dev.caroblb.agreement.codec;

import dev.caroblb.agreement.EntryKind;

/**
 * Codes of the entry kinds in messages. Part of the wire format: the meaning of a code never
 * changes.
 */
final class EntryKindCodes {
  private static final int COMMAND = 0;
  private static final int MEMBERS = 1;
  private static final int NO_OP = 2;

  private EntryKindCodes() {}

  static int toCode(EntryKind kind) {
    return switch (kind) {
      case COMMAND -> COMMAND;
      case MEMBERS -> MEMBERS;
      case NO_OP -> NO_OP;
    };
  }

  static EntryKind fromCode(int code) {
    return switch (code) {
      case COMMAND -> EntryKind.COMMAND;
      case MEMBERS -> EntryKind.MEMBERS;
      case NO_OP -> EntryKind.NO_OP;
      default -> throw new IllegalArgumentException("unknown entry kind " + code);
    };
  }
}
