package dev.caroblb.placement;

/** Geometric buckets of output length: two for each doubling, from 2 to 131,072 tokens. */
final class LengthBuckets {
  static final int COUNT = 32;

  private LengthBuckets() {}

  /** Bucket of a length. */
  static int index(int tokens) {
    if (tokens < 2) {
      return 0;
    }
    int octave = 31 - Integer.numberOfLeadingZeros(tokens);
    int half = (tokens >>> (octave - 1)) & 1;
    return Math.min(COUNT - 1, 2 * (octave - 1) + half);
  }

  /** Smallest length of a bucket; the first one starts at 0. */
  static int lower(int bucket) {
    if (bucket == 0) {
      return 0;
    }
    int octave = bucket / 2 + 1;
    return (1 << octave) + ((bucket & 1) << (octave - 1));
  }
}
