package dev.caroblb.configuration;

import dev.caroblb.configuration.teamfile.TeamFileError;
import java.util.List;

/**
 * Answer to a publisher.
 *
 * @param number number of the publish
 * @param outcome outcome of the publish
 * @param files names of the published files
 * @param detail explanation and remedy; empty if the publish was accepted without remarks
 * @param errors errors of an invalid publish
 */
public record PublishAnswer(
    long number,
    PublishOutcome outcome,
    List<String> files,
    String detail,
    List<TeamFileError> errors) {
  public PublishAnswer {
    files = List.copyOf(files);
    errors = List.copyOf(errors);
  }

  static PublishAnswer of(Publish publish, PublishOutcome outcome, String detail) {
    return new PublishAnswer(publish.number(), outcome, namesOf(publish), detail, List.of());
  }

  static PublishAnswer invalid(Publish publish, List<TeamFileError> errors) {
    String detail = "nothing was accepted; correct the files and publish again";
    return new PublishAnswer(
        publish.number(), PublishOutcome.INVALID, namesOf(publish), detail, errors);
  }

  private static List<String> namesOf(Publish publish) {
    return publish.files().stream().map(PublishedFile::name).toList();
  }
}
