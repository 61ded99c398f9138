package dev.caroblb.configuration;

/** Answers for publishes that were not accepted. */
final class RefusedPublish {
  private RefusedPublish() {}

  static PublishAnswer answer(Publish publish, CommandResult result) {
    if (result instanceof CommandResult.Conflict conflict) {
      return PublishAnswer.of(publish, PublishOutcome.CONFLICT, detail(conflict));
    }
    if (result instanceof CommandResult.Outdated outdated) {
      return PublishAnswer.of(publish, PublishOutcome.OUTDATED, detail(outdated));
    }
    if (result instanceof CommandResult.Refused refused) {
      return PublishAnswer.invalid(publish, refused.errors());
    }
    String detail =
        "the answer of the control group has an unknown format;"
            + " update all replicas to one software version, then send the publish again";
    return PublishAnswer.of(publish, PublishOutcome.UNANSWERED, detail);
  }

  private static String detail(CommandResult.Conflict conflict) {
    return "number "
        + conflict.number()
        + " was already accepted for request "
        + conflict.winnerRequest()
        + " with digest "
        + conflict.winnerDigest()
        + "; publish under a greater number";
  }

  private static String detail(CommandResult.Outdated outdated) {
    return "number "
        + outdated.number()
        + " is smaller than the current number "
        + outdated.current()
        + "; publish under a number greater than "
        + outdated.current();
  }
}
