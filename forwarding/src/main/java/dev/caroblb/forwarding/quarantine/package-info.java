/** Finds the parts of prompts that crash engines. */
package dev.caroblb.forwarding.quarantine;
