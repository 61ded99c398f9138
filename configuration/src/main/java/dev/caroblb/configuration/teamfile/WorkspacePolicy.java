package dev.caroblb.configuration.teamfile;

import dev.caroblb.core.WorkspaceId;

/**
 * What a team file states about one workspace.
 *
 * @param workspace name of the workspace
 * @param tokenSha256 SHA-256 of the bearer token, 64 lower-case hexadecimal digits
 * @param share weight among the workspaces, 1 to 100
 * @param maxConcurrent limit of calls that run at the same time
 */
public record WorkspacePolicy(
    WorkspaceId workspace, String tokenSha256, int share, int maxConcurrent) {}
