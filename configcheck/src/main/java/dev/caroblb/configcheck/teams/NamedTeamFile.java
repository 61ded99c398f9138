package dev.caroblb.configcheck.teams;

import dev.caroblb.configuration.teamfile.TeamFile;

/** A valid team file with the name under which it is published. */
public record NamedTeamFile(String name, TeamFile content) {}
