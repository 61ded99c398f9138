package dev.caroblb.core;

/** Name of a model engine or plain service that receives calls. */
public record TargetId(String name) {
  public TargetId {
    Names.requireValid("target", name);
  }

  @Override
  public String toString() {
    return name;
  }
}
