/** Text and JSON output of findings. */
package dev.caroblb.configcheck.report;
