package dev.caroblb.callers;

import java.util.List;
import java.util.Optional;
import java.util.function.Consumer;

/** Accepts publishes of team files. */
public interface PublishSink {
  /** Submits a publish; returns false, without effect, if the queue is full. */
  boolean publish(SubmittedPublish publish, Consumer<Answer> reply);

  /** One publish of an operator. */
  record SubmittedPublish(long number, String request, List<SubmittedFile> files) {
    public SubmittedPublish {
      files = List.copyOf(files);
    }
  }

  /** A team file; an empty text removes the file. */
  record SubmittedFile(String name, String text) {}

  /** Outcome of a publish. */
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

  /** The publish that was accepted when several were submitted under the same number. */
  record Winner(String request, String digest) {}

  /** Outcome of one file. */
  record FileAnswer(String name, boolean accepted, List<String> errors) {
    public FileAnswer {
      errors = List.copyOf(errors);
    }
  }
}
