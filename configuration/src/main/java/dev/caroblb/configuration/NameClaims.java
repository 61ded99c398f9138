package dev.caroblb.configuration;

import dev.caroblb.configuration.teamfile.TeamFileError;
import io.vavr.collection.HashMap;
import java.util.List;
import java.util.Optional;

/** Immutable index from names of one kind, such as workspaces, to the files that own them. */
final class NameClaims {
  private static final NameClaims EMPTY = new NameClaims(HashMap.empty());

  private final HashMap<String, String> ownerByName;

  private NameClaims(HashMap<String, String> ownerByName) {
    this.ownerByName = ownerByName;
  }

  static NameClaims empty() {
    return EMPTY;
  }

  NameClaims without(List<String> names) {
    return new NameClaims(ownerByName.removeAll(names));
  }

  NameClaims with(String name, String file) {
    return new NameClaims(ownerByName.put(name, file));
  }

  /** The error to report if another file owns the name; empty if the name is free. */
  Optional<TeamFileError> conflict(String key, String name, String file) {
    return ownerByName
        .get(name)
        .toJavaOptional()
        .map(
            owner ->
                new TeamFileError(
                    file,
                    1,
                    key,
                    '"' + name + '"',
                    "a name that no other file uses; " + owner + " uses it",
                    "rename it, or publish " + owner + " without it first"));
  }
}
