package dev.caroblb.configuration;

/** Outcome of a publish. */
public enum PublishOutcome {
  IN_FORCE("in_force"),
  ACCEPTED("accepted"),
  INVALID("invalid"),
  CONFLICT("conflict"),
  OUTDATED("outdated"),
  UNANSWERED("unanswered");

  private final String wireName;

  PublishOutcome(String wireName) {
    this.wireName = wireName;
  }

  /** Name in the answer to the publisher. */
  public String wireName() {
    return wireName;
  }
}
