package dev.caroblb.pacing.codec;

import dev.caroblb.core.TargetId;
import dev.caroblb.core.TargetRun;
import dev.caroblb.pacing.LimitStatement;
import dev.caroblb.transport.codec.BoundedReader;
import java.io.IOException;
import java.util.List;
import java.util.Optional;
import org.msgpack.core.MessagePacker;

/** Encodes what targets say about their request limits. */
public final class LimitCodec {
  private static final int STATEMENT_FIELDS = 4;
  private static final int MAX_TARGET_BYTES = 63;

  private LimitCodec() {}

  public static void write(MessagePacker out, List<LimitStatement> statements) throws IOException {
    out.packArrayHeader(statements.size());
    for (LimitStatement statement : statements) {
      out.packArrayHeader(STATEMENT_FIELDS);
      write(out, statement.run());
      write(out, statement.perSecond());
      out.packLong(statement.ageMs());
    }
  }

  static void write(MessagePacker out, TargetRun run) throws IOException {
    out.packString(run.target().name());
    out.packLong(run.incarnation());
  }

  private static void write(MessagePacker out, Optional<Double> perSecond) throws IOException {
    out.packArrayHeader(perSecond.isPresent() ? 1 : 0);
    if (perSecond.isPresent()) {
      out.packDouble(perSecond.get());
    }
  }

  public static List<LimitStatement> read(BoundedReader in) throws IOException {
    return in.list(
        LimitStatement.MAX_STATEMENTS,
        list -> list.structure(STATEMENT_FIELDS, LimitCodec::statement));
  }

  private static LimitStatement statement(BoundedReader in) throws IOException {
    return new LimitStatement(run(in), in.optional(BoundedReader::doubleValue), in.longValue());
  }

  static TargetRun run(BoundedReader in) throws IOException {
    return new TargetRun(new TargetId(in.text(MAX_TARGET_BYTES)), in.longValue());
  }
}
