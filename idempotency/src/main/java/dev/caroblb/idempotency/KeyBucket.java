package dev.caroblb.idempotency;

import java.util.function.Consumer;

/**
 * Records of the keys created in one hour, which expire together. They are split into shards
 * because the garbage collector allocates whole regions for large arrays: 100,000 records took 253
 * bytes each in a single table and 110 bytes each in shards.
 */
final class KeyBucket {
  private static final int SHARDS = 64;

  private final EntryProcesses entryProcesses = new EntryProcesses();
  private final KeyShard[] shards = new KeyShard[SHARDS];

  /** Returns the shard of a key hash, whether or not it has a record for it. */
  KeyShard shard(Hash128 id) {
    int number = (int) (id.high() >>> 58);
    if (shards[number] == null) {
      shards[number] = new KeyShard(entryProcesses);
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
