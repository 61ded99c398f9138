package dev.caroblb.core;

/** Name of a team's share of the system. */
public record WorkspaceId(String name) {
  public WorkspaceId {
    Names.check("workspace", name);
  }

  @Override
  public String toString() {
    return name;
  }
}
