package dev.caroblb.core;

/** Name of a consensus group, for example {@code control} or {@code keys-0}. */
public record GroupId(String name) {
  public static final GroupId CONTROL = new GroupId("control");

  public GroupId {
    Names.requireValid("group", name);
  }

  /** The group that stores the idempotency keys of the given hash bucket. */
  public static GroupId keys(int bucket) {
    return new GroupId("keys-" + bucket);
  }

  @Override
  public String toString() {
    return name;
  }
}
