/** Rules for team files. */
package dev.caroblb.configcheck.teams;
