package dev.caroblb.http;

/** Counts what a listener refuses by itself. */
@FunctionalInterface
public interface ListenerObserver {
  /** A request was malformed or over a limit, with the status that was answered. */
  void rejected(int status);
}
