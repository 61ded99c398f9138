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
   * Values used unless an instance sets others. At 64 a large workspace was refused long calls that
   * would still have met their deadline.
   */
  public static AdmissionSettings defaults() {
    return new AdmissionSettings(256, 32, 0.1, 3);
  }
}
