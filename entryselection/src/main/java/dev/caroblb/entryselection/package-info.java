/** Chooses the entries that callers are sent to, by what these have left. */
package dev.caroblb.entryselection;
