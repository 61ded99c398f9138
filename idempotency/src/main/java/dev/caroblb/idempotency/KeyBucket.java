package dev.caroblb.idempotency;

import java.util.function.Consumer;

/**
 * Records of the keys created in one hour, which expire together. They are split into shards
 * because the garbage collector gives large arrays whole regions: 100,000 records in a single table
 * took 253 bytes each, in shards 110.
 */
final class KeyBucket {
  private static final int SHARDS = 64;

  private final Holders holders = new Holders();
  private final KeyShard[] shards = new KeyShard[SHARDS];

  /** The shard that holds, or would hold, the record of a key. */
  KeyShard shard(Hash128 id) {
    int number = (int) (id.high() >>> 58);
    if (shards[number] == null) {
      shards[number] = new KeyShard(holders);
    }
    return shards[number];
  }

  int size() {
    int size = 0;
    for (KeyShard shard : shards) {
      size += shard == null ? 0 : shard.size();
    }
    return size;
  }

  long outcomeBytes() {
    long bytes = 0;
    for (KeyShard shard : shards) {
      bytes += shard == null ? 0 : shard.outcomeBytes();
    }
    return bytes;
  }

  void forEach(Consumer<RecordState> visitor) {
    for (KeyShard shard : shards) {
      if (shard != null) {
        shard.forEach(visitor);
      }
    }
  }
}
