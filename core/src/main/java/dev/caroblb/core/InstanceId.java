package dev.caroblb.core;

/** Name of a process of the system. */
public record InstanceId(String name) {
  public InstanceId {
    Names.check("instance", name);
  }

  @Override
  public String toString() {
    return name;
  }
}
