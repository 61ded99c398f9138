package dev.caroblb.agreement.journal;

import dev.caroblb.agreement.EntryKind;
import dev.caroblb.agreement.LogEntry;
import dev.caroblb.core.Payload;
import java.util.Optional;

/**
 * Record in a log segment.
 *
 * @param type type of the payload
 * @param endsAppend whether the record is the last of an append; the records of one append are
 *     valid only as a whole
 * @param term term of the entry; current term for a segment header or a vote
 * @param index index of the entry; first index of the segment for its header; 0 for a vote
 * @param payload contents, depending on the type
 */
record LogRecord(Type type, boolean endsAppend, long term, long index, Payload payload) {
  /** Record types; their codes are part of the file format. */
  enum Type {
    SEGMENT(1, Optional.empty()),
    VOTE(2, Optional.empty()),
    COMMAND(3, Optional.of(EntryKind.COMMAND)),
    MEMBERS(4, Optional.of(EntryKind.MEMBERS)),
    NO_OP(5, Optional.of(EntryKind.NO_OP));

    private final int code;
    private final Optional<EntryKind> entryKind;

    Type(int code, Optional<EntryKind> entryKind) {
      this.code = code;
      this.entryKind = entryKind;
    }

    int code() {
      return code;
    }

    static Optional<Type> ofCode(int code) {
      for (Type type : values()) {
        if (type.code == code) {
          return Optional.of(type);
        }
      }
      return Optional.empty();
    }

    private static Type of(EntryKind kind) {
      return switch (kind) {
        case COMMAND -> COMMAND;
        case MEMBERS -> MEMBERS;
        case NO_OP -> NO_OP;
      };
    }
  }

  static LogRecord ofEntry(LogEntry entry, boolean endsAppend) {
    return new LogRecord(
        Type.of(entry.kind()), endsAppend, entry.term(), entry.index(), entry.payload());
  }

  /** Returns the log entry; empty for a segment header or a vote. */
  Optional<LogEntry> entry() {
    return type.entryKind.map(kind -> new LogEntry(index, term, kind, payload));
  }
}
