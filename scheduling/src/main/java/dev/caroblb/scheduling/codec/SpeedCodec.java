package dev.caroblb.scheduling.codec;

import dev.caroblb.core.TargetId;
import dev.caroblb.core.TargetRun;
import dev.caroblb.targets.LoadClass;
import dev.caroblb.targets.SpeedObservation;
import dev.caroblb.targets.SpeedSample;
import dev.caroblb.targets.TargetSpeed;
import dev.caroblb.transport.codec.BoundedReader;
import java.io.IOException;
import java.util.List;
import org.msgpack.core.MessagePacker;

/** Encodes observations and learned speeds of targets as parts of load reports. */
final class SpeedCodec {
  private static final int OBSERVATION_FIELDS = 3;
  private static final int SAMPLE_FIELDS = 3;
  private static final int SPEED_FIELDS = 5;
  private static final int MAX_NAME_BYTES = 63;

  /** Exceeds the number of targets in one report. */
  private static final int MAX_TARGETS = 2_048;

  private SpeedCodec() {}

  static void writeObservations(MessagePacker out, List<SpeedObservation> observations)
      throws IOException {
    out.packArrayHeader(observations.size());
    for (SpeedObservation observation : observations) {
      out.packArrayHeader(OBSERVATION_FIELDS);
      write(out, observation.run());
      out.packArrayHeader(observation.samples().size());
      for (SpeedSample sample : observation.samples()) {
        out.packArrayHeader(SAMPLE_FIELDS);
        out.packInt(sample.loadClass());
        out.packInt(sample.count());
        out.packLong(sample.totalMs());
      }
    }
  }

  static void writeSpeeds(MessagePacker out, List<TargetSpeed> speeds) throws IOException {
    out.packArrayHeader(speeds.size());
    for (TargetSpeed speed : speeds) {
      out.packArrayHeader(SPEED_FIELDS);
      write(out, speed.run());
      out.packInt(speed.permille());
      out.packLong(speed.promptTokenMicros());
      out.packArrayHeader(speed.pausesMs().size());
      for (long ms : speed.pausesMs()) {
        out.packLong(ms);
      }
    }
  }

  private static void write(MessagePacker out, TargetRun run) throws IOException {
    out.packString(run.target().name());
    out.packLong(run.incarnation());
  }

  static List<SpeedObservation> observations(BoundedReader in) throws IOException {
    return in.list(
        MAX_TARGETS,
        list ->
            list.structure(
                OBSERVATION_FIELDS,
                fields ->
                    new SpeedObservation(
                        run(fields), fields.list(LoadClass.COUNT, SpeedCodec::sample))));
  }

  private static SpeedSample sample(BoundedReader in) throws IOException {
    return in.structure(
        SAMPLE_FIELDS,
        fields -> new SpeedSample(fields.intValue(), fields.intValue(), fields.longValue()));
  }

  static List<TargetSpeed> speeds(BoundedReader in) throws IOException {
    return in.list(
        MAX_TARGETS,
        list ->
            list.structure(
                SPEED_FIELDS,
                fields ->
                    new TargetSpeed(
                        run(fields),
                        fields.intValue(),
                        fields.longValue(),
                        fields.list(LoadClass.COUNT, BoundedReader::longValue))));
  }

  private static TargetRun run(BoundedReader in) throws IOException {
    return new TargetRun(new TargetId(in.text(MAX_NAME_BYTES)), in.longValue());
  }
}
