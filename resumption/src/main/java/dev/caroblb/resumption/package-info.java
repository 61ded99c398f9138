/**
 * Which software version began a stream: known to control instances, so that a stream whose entry
 * is lost can be taken up at any entry.
 */
package dev.caroblb.resumption;
