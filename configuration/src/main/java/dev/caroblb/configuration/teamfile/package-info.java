/**
 * Reader of team files, the TOML files in which a team defines its models, workspaces and calls.
 */
package dev.caroblb.configuration.teamfile;
