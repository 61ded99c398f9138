/** HTTP front end for callers, operators and targets: decodes requests and encodes answers. */
package dev.caroblb.callers;
