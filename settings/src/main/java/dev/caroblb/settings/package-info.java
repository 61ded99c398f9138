/** TOML settings of an instance: the checked values and the errors found while reading them. */
package dev.caroblb.settings;
