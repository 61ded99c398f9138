package dev.caroblb.pacing.codec;

import dev.caroblb.pacing.RunOutcomes;
import dev.caroblb.pacing.WarmUpStatement;
import dev.caroblb.transport.codec.BoundedReader;
import java.io.IOException;
import java.util.List;
import org.msgpack.core.MessagePacker;

/** Encodes warm-ups of targets, and what happened to requests there. */
final class PaceCodec {
  private static final int WARM_UP_FIELDS = 4;
  private static final int OUTCOME_FIELDS = 6;

  private PaceCodec() {}

  static void writeWarmUps(MessagePacker out, List<WarmUpStatement> statements) throws IOException {
    out.packArrayHeader(statements.size());
    for (WarmUpStatement statement : statements) {
      out.packArrayHeader(WARM_UP_FIELDS);
      LimitCodec.write(out, statement.run());
      out.packLong(statement.leftMs());
      out.packLong(statement.ageMs());
    }
  }

  static List<WarmUpStatement> warmUps(BoundedReader in) throws IOException {
    return in.list(
        WarmUpStatement.MAX_STATEMENTS, list -> list.structure(WARM_UP_FIELDS, PaceCodec::warmUp));
  }

  private static WarmUpStatement warmUp(BoundedReader in) throws IOException {
    return new WarmUpStatement(LimitCodec.run(in), in.longValue(), in.longValue());
  }

  static void writeOutcomes(MessagePacker out, List<RunOutcomes> all) throws IOException {
    out.packArrayHeader(all.size());
    for (RunOutcomes outcomes : all) {
      out.packArrayHeader(OUTCOME_FIELDS);
      LimitCodec.write(out, outcomes.run());
      out.packLong(outcomes.answered());
      out.packLong(outcomes.slow());
      out.packLong(outcomes.failed());
      out.packLong(outcomes.rejected());
    }
  }

  static List<RunOutcomes> outcomes(BoundedReader in) throws IOException {
    return in.list(
        RunOutcomes.MAX_OUTCOMES, list -> list.structure(OUTCOME_FIELDS, PaceCodec::outcomesOfRun));
  }

  private static RunOutcomes outcomesOfRun(BoundedReader in) throws IOException {
    return new RunOutcomes(
        LimitCodec.run(in), in.longValue(), in.longValue(), in.longValue(), in.longValue());
  }
}
