package dev.caroblb.core;

/** Name of an instance, which is one process of the system. */
public record InstanceId(String name) {
  public InstanceId {
    Names.requireValid("instance", name);
  }

  @Override
  public String toString() {
    return name;
  }
}
