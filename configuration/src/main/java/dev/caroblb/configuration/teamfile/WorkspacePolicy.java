package dev.caroblb.configuration.teamfile;

import dev.caroblb.core.WorkspaceId;

/**
 * Token hash, share and call limit that a team file sets for one workspace.
 *
 * @param workspace name of the workspace
 * @param tokenSha256 SHA-256 of the bearer token, 64 lower-case hexadecimal digits
 * @param share weight of the workspace relative to the others, 1 to 100
 * @param maxConcurrent maximum number of concurrent calls
 */
public record WorkspacePolicy(
    WorkspaceId workspace, String tokenSha256, int share, int maxConcurrent) {}
