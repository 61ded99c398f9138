package dev.caroblb.streams;

/** Checks whether each token of a generation is the next one to deliver. */
final class TokenSequence {
  /** What to do with a token. */
  enum Verdict {
    DELIVER,
    DUPLICATE,
    GAP
  }

  private long last;

  TokenSequence(long afterSequence) {
    this.last = afterSequence;
  }

  /** Sequence number of the last token accepted for delivery. */
  long last() {
    return last;
  }

  Verdict accept(long sequence) {
    if (sequence <= last) {
      return Verdict.DUPLICATE;
    }
    if (sequence > last + 1) {
      return Verdict.GAP;
    }
    last = sequence;
    return Verdict.DELIVER;
  }
}
