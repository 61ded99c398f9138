package dev.caroblb.daemon;

import dev.caroblb.callers.PublishSink;
import dev.caroblb.configuration.ConfigurationMessage;
import dev.caroblb.configuration.Publish;
import dev.caroblb.configuration.PublishAnswer;
import dev.caroblb.configuration.PublishOutcome;
import dev.caroblb.configuration.PublishedFile;
import dev.caroblb.configuration.teamfile.TeamFileError;
import dev.caroblb.core.Outlet;
import java.util.List;
import java.util.Optional;
import java.util.function.Consumer;

/** Passes publishes from the HTTP front end to the configuration duty. */
final class ConfigurationPublishSink implements PublishSink {
  private final Outlet<ConfigurationMessage> configuration;

  ConfigurationPublishSink(Outlet<ConfigurationMessage> configuration) {
    this.configuration = configuration;
  }

  @Override
  public boolean publish(PublishSink.SubmittedPublish publish, Consumer<PublishSink.Answer> reply) {
    List<PublishedFile> files =
        publish.files().stream().map(file -> new PublishedFile(file.name(), file.text())).toList();
    Publish request = new Publish(publish.number(), publish.request(), files);
    return configuration.offer(
        new ConfigurationMessage.PublishRequested(
            request,
            answer -> {
              reply.accept(translate(answer));
              return true;
            }));
  }

  private static PublishSink.Answer translate(PublishAnswer answer) {
    boolean accepted =
        answer.outcome() == PublishOutcome.IN_FORCE || answer.outcome() == PublishOutcome.ACCEPTED;
    List<PublishSink.FileAnswer> files =
        answer.files().stream()
            .map(name -> new PublishSink.FileAnswer(name, accepted, errors(answer, name)))
            .toList();
    return new PublishSink.Answer(
        answer.number(), answer.outcome().wireName(), Optional.empty(), answer.detail(), files);
  }

  private static List<String> errors(PublishAnswer answer, String file) {
    return answer.errors().stream()
        .filter(error -> error.file().equals(file))
        .map(TeamFileError::message)
        .toList();
  }
}
