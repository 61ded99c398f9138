package dev.caroblb.idempotency;

import java.util.Map;
import java.util.Optional;
import java.util.TreeMap;
import java.util.function.BiConsumer;

/**
 * Replicated records of a key group. It is deterministic: the result of a command depends on
 * earlier commands only, and the current time is the largest wall-clock time in the log.
 *
 * <p>A record expires together with its key. An expired key is refused permanently because the time
 * of the log never decreases. A wrong clock can therefore make keys unusable but cannot cause a
 * call to run twice.
 */
public final class KeyTable {
  public static final long RETENTION_MS = 24L * 60 * 60 * 1_000;
  public static final long MAX_AHEAD_MS = 5L * 60 * 1_000;

  /** Records expire in buckets of one hour, which avoids an expiry queue entry per record. */
  private static final long BUCKET_MS = 60L * 60 * 1_000;

  private final KeyLimits limits;
  private final TreeMap<Long, KeyBucket> buckets = new TreeMap<>();
  private long timeMs;
  private int records;
  private long outcomeBytes;

  public KeyTable(KeyLimits limits) {
    this.limits = limits;
  }

  /** Applies a committed command. */
  public KeyResult apply(KeyCommand command) {
    if (command instanceof KeyCommand.Reserve reserve) {
      return reserve(reserve);
    }
    if (command instanceof KeyCommand.RecordOutcome recordOutcome) {
      return store(recordOutcome);
    }
    return release(command.key(), command.attempt());
  }

  private KeyResult reserve(KeyCommand.Reserve command) {
    advance(command.wallMs());
    long createdAtMs = command.key().createdAtMs();
    if (hour(createdAtMs) < oldestHour()) {
      return new KeyResult.Refused(KeyRefusal.EXPIRED);
    }
    if (createdAtMs > timeMs + MAX_AHEAD_MS) {
      return new KeyResult.Refused(KeyRefusal.IN_FUTURE);
    }
    Hash128 id = Sha256.ofKey(command.key());
    Optional<KeyShard> shard = shard(hour(createdAtMs), id);
    int slot = slot(shard, id);
    if (slot < 0) {
      return add(hour(createdAtMs), id, command.digest(), command.attempt());
    }
    return reserveExisting(shard.orElseThrow(), slot, command);
  }

  private Optional<KeyShard> shard(long hour, Hash128 id) {
    return Optional.ofNullable(buckets.get(hour)).map(bucket -> bucket.shard(id));
  }

  /** Returns the slot of the record, or a negative number if there is none. */
  private static int slot(Optional<KeyShard> shard, Hash128 id) {
    return shard.isEmpty() ? -1 : shard.get().find(id);
  }

  private KeyResult add(long hour, Hash128 id, Hash128 digest, Attempt attempt) {
    if (records >= limits.maxRecords()) {
      return new KeyResult.Refused(KeyRefusal.FULL);
    }
    buckets.computeIfAbsent(hour, h -> new KeyBucket()).shard(id).add(id, digest, attempt);
    records++;
    return new KeyResult.Granted();
  }

  private static KeyResult reserveExisting(KeyShard shard, int slot, KeyCommand.Reserve command) {
    if (shard.released(slot)) {
      if (shard.heldBy(slot, command.attempt())) {
        return new KeyResult.Refused(KeyRefusal.ALREADY_RELEASED);
      }
      shard.reserve(slot, command.digest(), command.attempt());
      return new KeyResult.Granted();
    }
    if (!shard.sameDigest(slot, command.digest())) {
      return new KeyResult.Refused(KeyRefusal.REUSED);
    }
    if (!shard.reserved(slot)) {
      return new KeyResult.Stored(shard.stored(slot));
    }
    if (shard.heldBy(slot, command.attempt())) {
      return new KeyResult.Granted();
    }
    return new KeyResult.Held(shard.holder(slot));
  }

  private KeyResult store(KeyCommand.RecordOutcome command) {
    Hash128 id = Sha256.ofKey(command.key());
    Optional<KeyShard> found = shard(hour(command.key().createdAtMs()), id);
    int slot = slot(found, id);
    if (slot < 0) {
      return new KeyResult.NotHolder();
    }
    KeyShard shard = found.orElseThrow();
    if (shard.released(slot) || !shard.heldBy(slot, command.attempt())) {
      return new KeyResult.NotHolder();
    }
    if (shard.reserved(slot)) {
      boolean fits = outcomeBytes + command.outcome().body().size() <= limits.maxOutcomeBytes();
      StoredOutcome stored = fits ? command.outcome() : command.outcome().withoutBody();
      outcomeBytes += shard.store(slot, stored);
    }
    return new KeyResult.Recorded();
  }

  /** Releases a key. Succeeds also without a record, since then no attempt has reserved the key. */
  private KeyResult release(CallKey key, Attempt attempt) {
    long hour = hour(key.createdAtMs());
    if (hour < oldestHour()) {
      return new KeyResult.NotHolder();
    }
    Hash128 id = Sha256.ofKey(key);
    Optional<KeyShard> found = shard(hour, id);
    int slot = slot(found, id);
    if (slot < 0) {
      return releaseAbsent(hour, id, attempt);
    }
    KeyShard shard = found.orElseThrow();
    if (shard.released(slot)) {
      return new KeyResult.Released();
    }
    if (!shard.reserved(slot) || !shard.heldBy(slot, attempt)) {
      return new KeyResult.NotHolder();
    }
    shard.release(slot);
    return new KeyResult.Released();
  }

  /** Adds a released record, so that a delayed copy of the reservation command is refused. */
  private KeyResult releaseAbsent(long hour, Hash128 id, Attempt attempt) {
    if (hour <= hour(timeMs + MAX_AHEAD_MS)
        && add(hour, id, new Hash128(0, 0), attempt) instanceof KeyResult.Granted) {
      KeyShard shard = buckets.get(hour).shard(id);
      shard.release(shard.find(id));
    }
    return new KeyResult.Released();
  }

  private void advance(long wallMs) {
    if (wallMs <= timeMs) {
      return;
    }
    timeMs = wallMs;
    while (!buckets.isEmpty() && buckets.firstKey() < oldestHour()) {
      KeyBucket expired = buckets.pollFirstEntry().getValue();
      records -= expired.size();
      outcomeBytes -= expired.outcomeBytes();
    }
  }

  private long oldestHour() {
    return hour(timeMs - RETENTION_MS);
  }

  private static long hour(long wallMs) {
    return Math.floorDiv(wallMs, BUCKET_MS);
  }

  /** Largest wall-clock time of the applied commands. */
  public long timeMs() {
    return timeMs;
  }

  /** Number of records. */
  public int records() {
    return records;
  }

  /** Bytes of stored outcomes. */
  public long outcomeBytes() {
    return outcomeBytes;
  }

  /** Returns the record of a key. */
  public Optional<RecordState> find(CallKey key) {
    Hash128 id = Sha256.ofKey(key);
    Optional<KeyShard> shard = shard(hour(key.createdAtMs()), id);
    int slot = slot(shard, id);
    return slot < 0 ? Optional.empty() : shard.map(s -> s.state(slot));
  }

  /** Passes each record and the hour of its key to the visitor, for a snapshot. */
  public void forEach(BiConsumer<Long, RecordState> visitor) {
    for (Map.Entry<Long, KeyBucket> entry : buckets.entrySet()) {
      entry.getValue().forEach(state -> visitor.accept(entry.getKey(), state));
    }
  }

  /** Clears the table and sets its time to that of a snapshot. */
  public void reset(long snapshotTimeMs) {
    buckets.clear();
    records = 0;
    outcomeBytes = 0;
    timeMs = snapshotTimeMs;
  }

  /** Adds a record from a snapshot. */
  public void load(long hour, RecordState state) {
    KeyShard shard = buckets.computeIfAbsent(hour, h -> new KeyBucket()).shard(state.id());
    shard.add(state.id(), state.digest(), state.holder());
    records++;
    int slot = shard.find(state.id());
    if (state.released()) {
      shard.release(slot);
    }
    if (state.outcome().isPresent()) {
      outcomeBytes += shard.store(slot, state.outcome().get());
    }
  }
}
