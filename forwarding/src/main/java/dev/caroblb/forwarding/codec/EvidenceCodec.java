package dev.caroblb.forwarding.codec;

import dev.caroblb.core.TargetId;
import dev.caroblb.forwarding.quarantine.AnsweredPart;
import dev.caroblb.forwarding.quarantine.CrashReport;
import dev.caroblb.forwarding.quarantine.Evidence;
import dev.caroblb.forwarding.quarantine.PromptPart;
import dev.caroblb.forwarding.quarantine.SuspectPart;
import dev.caroblb.transport.codec.BoundedReader;
import java.io.IOException;
import org.msgpack.core.MessagePacker;

/** Encodes the evidence about parts of prompts that crash engines. */
final class EvidenceCodec {
  static final int FIELDS = 2;
  private static final int CRASH_FIELDS = 4;
  private static final int PART_FIELDS = 2;

  /** Maximum length of a part's ID in bytes; its characters may have up to three bytes. */
  private static final int MAX_ID_BYTES = 3 * PromptPart.MAX_ID_LENGTH;

  private static final int MAX_TARGET_BYTES = 63;

  private EvidenceCodec() {}

  static void write(MessagePacker out, Evidence evidence) throws IOException {
    out.packArrayHeader(evidence.crashes().size());
    for (CrashReport crash : evidence.crashes()) {
      out.packArrayHeader(CRASH_FIELDS);
      out.packString(crash.target().name());
      out.packLong(crash.incarnation());
      out.packLong(crash.ageMs());
      out.packArrayHeader(crash.suspects().size());
      for (SuspectPart suspect : crash.suspects()) {
        write(out, suspect.part(), suspect.sentAgeMs());
      }
    }
    out.packArrayHeader(evidence.answered().size());
    for (AnsweredPart answer : evidence.answered()) {
      write(out, answer.part(), answer.ageMs());
    }
  }

  private static void write(MessagePacker out, PromptPart part, long ageMs) throws IOException {
    out.packArrayHeader(PART_FIELDS);
    out.packString(part.id());
    out.packLong(ageMs);
  }

  static Evidence read(BoundedReader in) throws IOException {
    return new Evidence(
        in.list(Evidence.MAX_CRASHES, list -> list.structure(CRASH_FIELDS, EvidenceCodec::crash)),
        in.list(
            Evidence.MAX_ANSWERED,
            list ->
                list.structure(
                    PART_FIELDS, part -> new AnsweredPart(part(part), part.longValue()))));
  }

  private static CrashReport crash(BoundedReader in) throws IOException {
    return new CrashReport(
        new TargetId(in.text(MAX_TARGET_BYTES)),
        in.longValue(),
        in.longValue(),
        in.list(
            Evidence.MAX_SUSPECTS,
            list ->
                list.structure(
                    PART_FIELDS, part -> new SuspectPart(part(part), part.longValue()))));
  }

  private static PromptPart part(BoundedReader in) throws IOException {
    return new PromptPart(in.text(MAX_ID_BYTES));
  }
}
