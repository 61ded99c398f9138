package dev.caroblb.http;

/**
 * Observes requests that a listener rejects without the {@link RequestHandler}, or whose handler
 * failed.
 */
@FunctionalInterface
public interface ListenerObserver {
  /**
   * Called with the status of the response when a request was malformed, over a limit, or failed in
   * the handler.
   */
  void rejected(int status);
}
