package dev.caroblb.scheduling;

/**
 * Expected tokens and number of the queued requests that get room before a request.
 *
 * @param tokens tokens of the requests before it in the order
 * @param requests their number
 * @param tokensIfLate tokens of all requests that can be in time, and of the late ones before it
 * @param requestsIfLate their number
 */
record Backlog(double tokens, long requests, double tokensIfLate, long requestsIfLate) {}
