/** Reader of the TOML settings file of an instance, with the validated values and the errors. */
package dev.caroblb.settings;
