package dev.caroblb.entryselection;

import dev.caroblb.core.FailureDomain;
import dev.caroblb.membership.InstanceRecord;
import java.util.List;
import java.util.Optional;
import java.util.random.RandomGenerator;

/** Chooses the entries that an answer to a caller names. Callers use one of them at random. */
public interface EntrySelection {
  /**
   * Returns the entries that a caller may use, in no particular order.
   *
   * @param entries the entries that accept callers
   * @param callerDomain failure domain of the caller, if it named one
   */
  List<InstanceRecord> choose(
      List<InstanceRecord> entries, Optional<FailureDomain> callerDomain, RandomGenerator random);
}
