/** The known targets, the load on them, and the choice of one of them. */
package dev.caroblb.targets;
