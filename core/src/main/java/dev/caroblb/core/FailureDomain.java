package dev.caroblb.core;

/** Name of a set of machines that can fail together. */
public record FailureDomain(String name) {
  public FailureDomain {
    Names.requireValid("failure domain", name);
  }

  @Override
  public String toString() {
    return name;
  }
}
