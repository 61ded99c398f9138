/**
 * Evacuation of failure domains: the replicated set of evacuated domains, its orders and its
 * distribution to all instances.
 */
package dev.caroblb.evacuation;
