/**
 * Forwarding of requests to targets by the routing table in force: choice of a target, attempts and
 * their budget, time limits, streams that move to another target.
 */
package dev.caroblb.forwarding;
