package dev.caroblb.configuration;

import dev.caroblb.configuration.ConfigurationCommand.CheckedFile;
import dev.caroblb.configuration.teamfile.TeamFile;
import dev.caroblb.configuration.teamfile.TeamFileError;
import dev.caroblb.configuration.teamfile.TeamFileReader;
import io.vavr.control.Either;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Set;
import java.util.regex.Pattern;

/** Validates the parts of a publish that do not depend on the accepted configuration. */
final class PublishChecker {
  static final int MAX_PUBLISH_BYTES = 1024 * 1024;

  private static final int MAX_REQUEST_CHARS = 200;
  private static final Pattern FILE_NAME = Pattern.compile("[A-Za-z0-9][A-Za-z0-9._-]{0,127}");

  private PublishChecker() {}

  static Either<List<TeamFileError>, ConfigurationCommand.Accept> check(Publish publish) {
    List<TeamFileError> errors = new ArrayList<>();
    checkMetadata(publish, errors);
    List<CheckedFile> checked = new ArrayList<>();
    Set<String> names = new HashSet<>();
    for (PublishedFile file : publish.files()) {
      if (!FILE_NAME.matcher(file.name()).matches()) {
        String allowed =
            "1 to 128 letters, digits, '.', '-' or '_', starting with a letter or digit";
        errors.add(error(file.name(), "name", file.name(), allowed, "rename the file"));
        continue;
      }
      if (!names.add(file.name())) {
        errors.add(
            error(file.name(), "name", "the file twice", "each file once", "remove one of them"));
      }
      Either<List<TeamFileError>, TeamFile> read = TeamFileReader.read(file.name(), file.text());
      read.peek(teamFile -> checked.add(checked(file, teamFile)));
      read.peekLeft(errors::addAll);
    }
    if (!errors.isEmpty()) {
      return Either.left(errors);
    }
    return Either.right(
        new ConfigurationCommand.Accept(
            publish.number(), publish.request(), publish.digest(), checked));
  }

  private static void checkMetadata(Publish publish, List<TeamFileError> errors) {
    if (publish.number() < 1) {
      String found = Long.toString(publish.number());
      errors.add(error("publish", "number", found, "1 or more", "publish under a greater number"));
    }
    if (publish.request().isEmpty() || publish.request().length() > MAX_REQUEST_CHARS) {
      String found = publish.request().length() + " characters";
      String allowed = "1 to " + MAX_REQUEST_CHARS + " characters";
      errors.add(
          error("publish", "request", found, allowed, "set a request identity of this length"));
    }
    int bytes = publish.files().stream().mapToInt(PublishedFile::sizeBytes).sum();
    if (publish.files().isEmpty() || bytes > MAX_PUBLISH_BYTES) {
      String found = publish.files().size() + " files with " + bytes + " bytes";
      String allowed = "1 or more files with at most " + MAX_PUBLISH_BYTES + " bytes together";
      errors.add(error("publish", "files", found, allowed, "split the publish"));
    }
  }

  private static TeamFileError error(
      String file, String key, String found, String allowed, String remedy) {
    return new TeamFileError(file, 1, key, found, allowed, remedy);
  }

  private static CheckedFile checked(PublishedFile file, TeamFile teamFile) {
    List<String> workspaces =
        teamFile.workspaces().stream().map(policy -> policy.workspace().name()).toList();
    return new CheckedFile(file.name(), file.text(), teamFile.team(), workspaces);
  }
}
