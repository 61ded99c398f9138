package dev.caroblb.admission;

/**
 * Limits of admission.
 *
 * @param queueBound maximum number of waiting calls of a workspace in a lane
 * @param outstanding maximum number of calls of a lane that await an answer of placement
 * @param retryShare retries allowed per first attempt
 * @param maxAttempts maximum number of dispatches of a call, including the first
 */
public record AdmissionSettings(
    int queueBound, int outstanding, double retryShare, int maxAttempts) {
  /**
   * Default values. With a queue bound of 64, long calls of a large workspace were refused although
   * they would have met their deadline.
   */
  public static AdmissionSettings defaults() {
    return new AdmissionSettings(256, 32, 0.1, 3);
  }
}
