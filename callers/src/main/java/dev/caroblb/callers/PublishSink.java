package dev.caroblb.callers;

import java.util.List;
import java.util.Optional;
import java.util.function.Consumer;

/** Takes publishes of team files. */
public interface PublishSink {
  /** Hands over a publish; false when there was no room for it and nothing was done. */
  boolean publish(SubmittedPublish publish, Consumer<Answer> reply);

  /** One publish of an operator. */
  record SubmittedPublish(long number, String request, List<SubmittedFile> files) {
    public SubmittedPublish {
      files = List.copyOf(files);
    }
  }

  /** A team file; empty text removes the file of that name. */
  record SubmittedFile(String name, String text) {}

  /** What became of a publish. */
  record Answer(
      long number,
      String outcome,
      Optional<Winner> winner,
      String message,
      List<FileAnswer> files) {
    public Answer {
      files = List.copyOf(files);
    }
  }

  /** The publish that was accepted under a contested number. */
  record Winner(String request, String digest) {}

  /** What became of one file. */
  record FileAnswer(String name, boolean accepted, List<String> errors) {
    public FileAnswer {
      errors = List.copyOf(errors);
    }
  }
}
