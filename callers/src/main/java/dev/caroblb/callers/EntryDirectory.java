package dev.caroblb.callers;

import java.util.List;

/** Lists the entry instances that callers may use now. */
public interface EntryDirectory {
  List<EntryAddress> entries();

  /** Time in milliseconds for which a caller may cache the list. */
  long addressTtlMs();
}
