package dev.caroblb.callers;

import java.util.List;

/** Answers which entry instances callers may use now. */
public interface EntryDirectory {
  List<EntryAddress> entries();

  /** Time in milliseconds for which a caller may keep the answer. */
  long keepMs();
}
