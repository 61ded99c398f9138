package dev.caroblb.configuration.codec;

import dev.caroblb.configuration.CommandResult;
import dev.caroblb.core.MessageCodec;
import dev.caroblb.core.Payload;
import java.util.Optional;

/** Encodes command results, which the state machine returns to the proposer. */
public final class ResultCodec implements MessageCodec<CommandResult> {
  private static final int ACCEPTED = 1;
  private static final int CONFLICT = 2;
  private static final int OUTDATED = 3;
  private static final int REFUSED = 4;
  private static final int BARRIER_PASSED = 5;
  private static final int UNREADABLE = 6;

  @Override
  public Payload encode(CommandResult result) {
    FieldWriter writer = new FieldWriter();
    if (result instanceof CommandResult.Accepted accepted) {
      writer.number(ACCEPTED).number(accepted.number());
    } else if (result instanceof CommandResult.Conflict conflict) {
      writer.number(CONFLICT).number(conflict.number());
      writer.text(conflict.winnerRequest()).text(conflict.winnerDigest());
    } else if (result instanceof CommandResult.Outdated outdated) {
      writer.number(OUTDATED).number(outdated.number()).number(outdated.current());
    } else if (result instanceof CommandResult.Refused refused) {
      writer.number(REFUSED);
      writer.list(refused.errors(), error -> CommonFields.writeError(writer, error));
    } else if (result instanceof CommandResult.BarrierPassed barrierPassed) {
      writer.number(BARRIER_PASSED).number(barrierPassed.number());
    } else {
      writer.number(UNREADABLE);
    }
    return writer.payload();
  }

  @Override
  public Optional<CommandResult> decode(Payload bytes) {
    return FieldReader.decode(bytes, ResultCodec::read);
  }

  private static CommandResult read(FieldReader reader) {
    int kind = reader.intValue();
    switch (kind) {
      case ACCEPTED:
        return new CommandResult.Accepted(reader.longValue());
      case CONFLICT:
        return new CommandResult.Conflict(reader.longValue(), reader.text(), reader.text());
      case OUTDATED:
        return new CommandResult.Outdated(reader.longValue(), reader.longValue());
      case REFUSED:
        return new CommandResult.Refused(reader.list(CommonFields::readError));
      case BARRIER_PASSED:
        return new CommandResult.BarrierPassed(reader.longValue());
      case UNREADABLE:
        return new CommandResult.Unreadable();
      default:
        throw new FieldReader.MalformedException("unknown kind " + kind);
    }
  }
}
