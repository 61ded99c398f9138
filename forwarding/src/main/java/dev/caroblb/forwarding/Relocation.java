package dev.caroblb.forwarding;

/**
 * Move of a running generation to another engine: a copy while it goes on, then a last copy that
 * stops it.
 *
 * @param destination the engine that gets the copy
 * @param stage how far it is
 */
record Relocation(Target destination, Stage stage) {
  enum Stage {
    /** The generation goes on while its memory is copied. */
    COPYING,
    /** The generation was told to stop. */
    STOPPING
  }

  Relocation stopping() {
    return new Relocation(destination, Stage.STOPPING);
  }
}
