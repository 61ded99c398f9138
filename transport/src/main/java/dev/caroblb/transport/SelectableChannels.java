package dev.caroblb.transport;

import dev.caroblb.core.LogLine;
import java.io.IOException;
import java.nio.channels.SelectableChannel;

/** Closes NIO channels; errors while closing are only logged. */
final class SelectableChannels {
  private static final System.Logger LOGGER = System.getLogger(SelectableChannels.class.getName());

  private SelectableChannels() {}

  static void closeQuietly(SelectableChannel channel) {
    if (channel == null) {
      return;
    }
    try {
      channel.close();
    } catch (IOException e) {
      LOGGER.log(
          System.Logger.Level.DEBUG,
          LogLine.of("transport.close_failed").with("cause", e).toString());
    }
  }
}
