package dev.caroblb.streams;

import dev.caroblb.core.RetryReason;

/** Receives measurements of running calls. Called on the streams thread; must not block. */
public interface StreamObserver {
  /** The first token was delivered {@code waitMs} after the call started. */
  void firstToken(long waitMs);

  /** A token was delivered {@code gapMs} after the previous one. */
  void nextToken(long gapMs);

  /** A generation was resumed or a call was retried. */
  void retried(RetryReason reason);

  /** An observer that ignores all measurements. */
  static StreamObserver none() {
    return new StreamObserver() {
      @Override
      public void firstToken(long waitMs) {}

      @Override
      public void nextToken(long gapMs) {}

      @Override
      public void retried(RetryReason reason) {}
    };
  }
}
