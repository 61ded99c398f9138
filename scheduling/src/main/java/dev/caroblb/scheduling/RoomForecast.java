package dev.caroblb.scheduling;

import java.util.Optional;

/** Forecast of when engines of a service have room for a queued request. */
public interface RoomForecast {
  /**
   * Rate at which engines free room.
   *
   * @param tokensPerMs tokens of memory per millisecond
   * @param requestsPerMs places per millisecond
   */
  record Rate(double tokensPerMs, double requestsPerMs) {}

  /**
   * What gets room before and with a request.
   *
   * @param tokens expected tokens of the requests ahead and of the request
   * @param requests their number
   * @param placesScarce whether places, not only memory, may delay them
   */
  record Demand(double tokens, long requests, boolean placesScarce) {}

  /** The rate at which room is freed; empty if too little has been observed. */
  Optional<Rate> rate(String service, long nowMs);

  /**
   * Time in milliseconds until there is room; empty if too little has been observed.
   *
   * @param belowPriority new requests with a priority before this one also take room
   */
  Optional<Double> delayMs(String service, Demand demand, int belowPriority, long nowMs);

  /**
   * Time in milliseconds until there is room that requests in time leave idle; empty if too little
   * has been observed.
   */
  Optional<Double> idleDelayMs(String service, Demand demand, long nowMs);
}
