package dev.caroblb.core;

/** Name of a workspace, the share of the system that one team uses. */
public record WorkspaceId(String name) {
  public WorkspaceId {
    Names.requireValid("workspace", name);
  }

  @Override
  public String toString() {
    return name;
  }
}
