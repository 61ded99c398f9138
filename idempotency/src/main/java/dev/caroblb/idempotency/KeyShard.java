package dev.caroblb.idempotency;

import java.util.Optional;
import java.util.function.Consumer;

/**
 * Open-addressing hash table of key records in primitive arrays; an object per record would take
 * more than twice the memory. Records are not removed individually.
 */
final class KeyShard {
  private static final int INITIAL_SLOTS = 16;

  /** Keeps the probe sequences of linear probing short. */
  private static final int MAX_LOAD_PERCENT = 75;

  private static final byte[] RELEASED = new byte[0];

  private final EntryProcesses entryProcesses;

  private long[] idHigh;
  private long[] idLow;
  private long[] digestHigh;
  private long[] digestLow;
  private long[] call;

  /** Number in {@link EntryProcesses}; 0 for an empty slot. */
  private int[] processNumber;

  /** Packed outcome, {@link #RELEASED}, or null while the reservation is held. */
  private byte[][] outcome;

  private int size;

  KeyShard(EntryProcesses entryProcesses) {
    this.entryProcesses = entryProcesses;
    allocate(INITIAL_SLOTS);
  }

  private void allocate(int slots) {
    idHigh = new long[slots];
    idLow = new long[slots];
    digestHigh = new long[slots];
    digestLow = new long[slots];
    call = new long[slots];
    processNumber = new int[slots];
    outcome = new byte[slots][];
  }

  int size() {
    return size;
  }

  /** Returns the slot of the record, or a negative number if there is none. */
  int find(Hash128 id) {
    int slot = probe(id.high(), id.low());
    return processNumber[slot] == 0 ? -1 : slot;
  }

  private int probe(long high, long low) {
    int mask = processNumber.length - 1;
    int slot = (int) high & mask;
    while (processNumber[slot] != 0 && (idHigh[slot] != high || idLow[slot] != low)) {
      slot = (slot + 1) & mask;
    }
    return slot;
  }

  /** Adds a reserved record; the table must not contain its id. */
  void add(Hash128 id, Hash128 digest, Attempt attempt) {
    if ((size + 1) * 100L > processNumber.length * (long) MAX_LOAD_PERCENT) {
      grow();
    }
    int slot = probe(id.high(), id.low());
    idHigh[slot] = id.high();
    idLow[slot] = id.low();
    size++;
    reserve(slot, digest, attempt);
  }

  private void grow() {
    long[] oldHigh = idHigh;
    long[] oldLow = idLow;
    long[] oldDigestHigh = digestHigh;
    long[] oldDigestLow = digestLow;
    long[] oldCall = call;
    int[] oldProcessNumber = processNumber;
    byte[][] oldOutcome = outcome;
    allocate(oldProcessNumber.length * 2);
    for (int i = 0; i < oldProcessNumber.length; i++) {
      if (oldProcessNumber[i] == 0) {
        continue;
      }
      int slot = probe(oldHigh[i], oldLow[i]);
      idHigh[slot] = oldHigh[i];
      idLow[slot] = oldLow[i];
      digestHigh[slot] = oldDigestHigh[i];
      digestLow[slot] = oldDigestLow[i];
      call[slot] = oldCall[i];
      processNumber[slot] = oldProcessNumber[i];
      outcome[slot] = oldOutcome[i];
    }
  }

  /** Assigns the reservation of a record to an attempt. */
  void reserve(int slot, Hash128 digest, Attempt attempt) {
    digestHigh[slot] = digest.high();
    digestLow[slot] = digest.low();
    call[slot] = attempt.call();
    processNumber[slot] = entryProcesses.processNumber(attempt);
    outcome[slot] = null;
  }

  boolean heldBy(int slot, Attempt attempt) {
    return call[slot] == attempt.call() && holder(slot).equals(attempt);
  }

  Attempt holder(int slot) {
    return entryProcesses.attempt(processNumber[slot], call[slot]);
  }

  boolean sameDigest(int slot, Hash128 digest) {
    return digestHigh[slot] == digest.high() && digestLow[slot] == digest.low();
  }

  boolean reserved(int slot) {
    return outcome[slot] == null;
  }

  boolean released(int slot) {
    return outcome[slot] == RELEASED;
  }

  void release(int slot) {
    outcome[slot] = RELEASED;
  }

  /** Stores an outcome and returns its packed size in bytes. */
  int store(int slot, StoredOutcome stored) {
    outcome[slot] = PackedOutcome.pack(stored);
    return outcome[slot].length;
  }

  StoredOutcome stored(int slot) {
    return PackedOutcome.unpack(outcome[slot]);
  }

  long outcomeBytes() {
    long bytes = 0;
    for (byte[] packed : outcome) {
      bytes += packed == null ? 0 : packed.length;
    }
    return bytes;
  }

  void forEach(Consumer<RecordState> visitor) {
    for (int slot = 0; slot < processNumber.length; slot++) {
      if (processNumber[slot] != 0) {
        visitor.accept(state(slot));
      }
    }
  }

  RecordState state(int slot) {
    boolean done = !reserved(slot) && !released(slot);
    return new RecordState(
        new Hash128(idHigh[slot], idLow[slot]),
        new Hash128(digestHigh[slot], digestLow[slot]),
        holder(slot),
        released(slot),
        done ? Optional.of(stored(slot)) : Optional.empty());
  }
}
