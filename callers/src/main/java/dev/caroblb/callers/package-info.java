/** HTTP front end for callers, operators and targets: decodes requests and encodes responses. */
package dev.caroblb.callers;
