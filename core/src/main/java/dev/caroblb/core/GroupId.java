package dev.caroblb.core;

/** Name of a consensus group, for example {@code control} or {@code keys-0}. */
public record GroupId(String name) {
  public static final GroupId CONTROL = new GroupId("control");

  public GroupId {
    Names.check("group", name);
  }

  /** The group that keeps the idempotency keys with the given hash bucket. */
  public static GroupId keys(int bucket) {
    return new GroupId("keys-" + bucket);
  }

  @Override
  public String toString() {
    return name;
  }
}
