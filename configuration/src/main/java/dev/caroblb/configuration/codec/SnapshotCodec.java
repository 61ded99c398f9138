package dev.caroblb.configuration.codec;

import dev.caroblb.configuration.ConfigurationState;
import dev.caroblb.configuration.RecordedPublish;
import dev.caroblb.configuration.StoredFile;
import dev.caroblb.core.MessageCodec;
import dev.caroblb.core.Payload;
import java.util.List;
import java.util.Optional;

/** Encodes the whole replicated configuration as version, number, files and recorded publishes. */
public final class SnapshotCodec implements MessageCodec<ConfigurationState> {
  private static final int VERSION = 1;

  @Override
  public Payload encode(ConfigurationState state) {
    FieldWriter writer = new FieldWriter().number(VERSION).number(state.number());
    writer.list(
        state.files(),
        file ->
            writer
                .text(file.name())
                .text(file.text())
                .text(file.team())
                .texts(file.workspaces())
                .number(file.publishNumber()));
    writer.list(
        state.recorded(),
        publish -> writer.number(publish.number()).text(publish.request()).text(publish.digest()));
    return writer.payload();
  }

  @Override
  public Optional<ConfigurationState> decode(Payload bytes) {
    return FieldReader.decode(bytes, SnapshotCodec::read);
  }

  private static ConfigurationState read(FieldReader reader) {
    long version = reader.longValue();
    if (version != VERSION) {
      throw new FieldReader.MalformedException("unknown version " + version);
    }
    long number = reader.longValue();
    List<StoredFile> files = reader.list(SnapshotCodec::readFile);
    return ConfigurationState.restored(number, files, reader.list(SnapshotCodec::readRecorded));
  }

  private static StoredFile readFile(FieldReader reader) {
    return new StoredFile(
        reader.text(), reader.text(), reader.text(), reader.texts(), reader.longValue());
  }

  private static RecordedPublish readRecorded(FieldReader reader) {
    return new RecordedPublish(reader.longValue(), reader.text(), reader.text());
  }
}
