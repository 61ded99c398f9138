package dev.caroblb.core;

/** Scores of rendezvous hashing: every instance ranks the same names for a key in the same way. */
public final class RendezvousScore {
  private RendezvousScore() {}

  /**
   * 64-bit FNV-1a hash of both names, followed by a mixing step. {@link String#hashCode}
   * distributes similar names too unevenly.
   */
  public static long of(String name, String key) {
    long hash = 0xcbf29ce484222325L;
    String text = name + "/" + key;
    for (int i = 0; i < text.length(); i++) {
      hash = (hash ^ text.charAt(i)) * 0x100000001b3L;
    }
    hash = (hash ^ (hash >>> 30)) * 0xbf58476d1ce4e5b9L;
    hash = (hash ^ (hash >>> 27)) * 0x94d049bb133111ebL;
    return hash ^ (hash >>> 31);
  }
}
