/** Team files: the TOML format in which a team states its models, workspaces and calls. */
package dev.caroblb.configuration.teamfile;
