package dev.caroblb.idempotency;

import java.util.Map;
import java.util.Optional;
import java.util.TreeMap;
import java.util.function.BiConsumer;

/**
 * Replicated records of a key group. The result of a command depends on the earlier commands only:
 * time is the largest wall-clock time in the log.
 *
 * <p>A record expires together with its key: from then on the key is refused, and because time
 * never decreases it is refused for ever. A wrong clock can therefore make keys unusable but cannot
 * make a call run twice.
 */
public final class KeyTable {
  public static final long RETENTION_MS = 24L * 60 * 60 * 1_000;
  public static final long MAX_AHEAD_MS = 5L * 60 * 1_000;

  /** Records expire by the hour of their key, so that no record needs a place in a queue. */
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
    if (command instanceof KeyCommand.RecordOutcome done) {
      return store(done);
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
      return new KeyResult.Refused(KeyRefusal.AHEAD);
    }
    Hash128 id = Sha256.ofKey(command.key());
    Optional<KeyShard> shard = shard(hour(createdAtMs), id);
    int slot = slot(shard, id);
    if (slot < 0) {
      return add(hour(createdAtMs), id, command.digest(), command.attempt());
    }
    return reserveKnown(shard.orElseThrow(), slot, command);
  }

  private Optional<KeyShard> shard(long hour, Hash128 id) {
    return Optional.ofNullable(buckets.get(hour)).map(bucket -> bucket.shard(id));
  }

  /** Slot of the record; negative when there is none. */
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

  private static KeyResult reserveKnown(KeyShard shard, int slot, KeyCommand.Reserve command) {
    if (shard.released(slot)) {
      if (shard.heldBy(slot, command.attempt())) {
        return new KeyResult.Refused(KeyRefusal.WITHDRAWN);
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
      StoredOutcome kept = fits ? command.outcome() : command.outcome().withoutBody();
      outcomeBytes += shard.store(slot, kept);
    }
    return new KeyResult.Recorded();
  }

  /** A release without a record also succeeds: the attempt holds nothing and nothing ran. */
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

  /** Leaves a released record behind, so that a late copy of the reservation finds it. */
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

  /** Time of the log. */
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

  /** The record of a key. */
  public Optional<RecordState> find(CallKey key) {
    Hash128 id = Sha256.ofKey(key);
    Optional<KeyShard> shard = shard(hour(key.createdAtMs()), id);
    int slot = slot(shard, id);
    return slot < 0 ? Optional.empty() : shard.map(s -> s.state(slot));
  }

  /** Passes each record with the hour of its key, for a snapshot. */
  public void forEach(BiConsumer<Long, RecordState> visitor) {
    for (Map.Entry<Long, KeyBucket> entry : buckets.entrySet()) {
      entry.getValue().forEach(state -> visitor.accept(entry.getKey(), state));
    }
  }

  /** Replaces everything by an empty table at the time of a snapshot. */
  public void reset(long snapshotTimeMs) {
    buckets.clear();
    records = 0;
    outcomeBytes = 0;
    timeMs = snapshotTimeMs;
  }

  /** Adds a record of a snapshot. */
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
