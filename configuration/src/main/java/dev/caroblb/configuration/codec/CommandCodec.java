package dev.caroblb.configuration.codec;

import dev.caroblb.configuration.ConfigurationCommand;
import dev.caroblb.core.MessageCodec;
import dev.caroblb.core.Payload;
import java.util.Optional;

/** Encodes the commands of the replicated configuration as version, kind and fields. */
public final class CommandCodec implements MessageCodec<ConfigurationCommand> {
  private static final int VERSION = 1;
  private static final int ACCEPT = 1;
  private static final int BARRIER = 2;

  @Override
  public Payload encode(ConfigurationCommand command) {
    FieldWriter writer = new FieldWriter().number(VERSION);
    if (command instanceof ConfigurationCommand.Accept) {
      ConfigurationCommand.Accept accept = (ConfigurationCommand.Accept) command;
      writer.number(ACCEPT).number(accept.number()).text(accept.request()).text(accept.digest());
      writer.list(
          accept.files(),
          file ->
              writer
                  .text(file.name())
                  .text(file.text())
                  .text(file.team())
                  .texts(file.workspaces()));
    } else {
      writer.number(BARRIER);
    }
    return writer.payload();
  }

  @Override
  public Optional<ConfigurationCommand> decode(Payload bytes) {
    return FieldReader.decode(bytes, CommandCodec::read);
  }

  private static ConfigurationCommand read(FieldReader reader) {
    long version = reader.longValue();
    int kind = reader.intValue();
    if (version == VERSION && kind == BARRIER) {
      return new ConfigurationCommand.Barrier();
    }
    if (version == VERSION && kind == ACCEPT) {
      return new ConfigurationCommand.Accept(
          reader.longValue(), reader.text(), reader.text(), reader.list(CommandCodec::readFile));
    }
    throw new FieldReader.MalformedException("unknown version " + version + " or kind " + kind);
  }

  private static ConfigurationCommand.CheckedFile readFile(FieldReader reader) {
    return new ConfigurationCommand.CheckedFile(
        reader.text(), reader.text(), reader.text(), reader.texts());
  }
}
