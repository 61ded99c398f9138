/** Creates the duties of one instance and connects them; contains the main class. */
package dev.caroblb.daemon;
