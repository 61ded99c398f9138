package dev.caroblb.admission;

/**
 * Limits of admission.
 *
 * @param queueBound calls that wait for each workspace and class
 * @param outstanding questions to placement for each lane at once
 * @param retryShare retries allowed for each first attempt
 * @param maxAttempts dispatches of one call, the first included
 */
public record AdmissionSettings(
    int queueBound, int outstanding, double retryShare, int maxAttempts) {
  /**
   * Values used unless an instance sets others. 64 calls at the few calls per second of a small
   * workspace are already longer than most deadlines.
   */
  public static AdmissionSettings defaults() {
    return new AdmissionSettings(64, 32, 0.1, 3);
  }
}
