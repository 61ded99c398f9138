package dev.caroblb.cli;

import com.beust.jcommander.IStringConverter;
import com.beust.jcommander.ParameterException;
import java.net.URI;
import java.util.regex.Pattern;

/** Address of an entry as {@code host:port}. */
record EntryAddress(String text) {
  private static final Pattern HOST_PORT =
      Pattern.compile("(?:[A-Za-z0-9.-]+|\\[[0-9A-Fa-f:.]+]):[0-9]{1,5}");

  static boolean valid(String text) {
    return HOST_PORT.matcher(text).matches();
  }

  URI uri(String path) {
    return URI.create("http://" + text + path);
  }

  @Override
  public String toString() {
    return text;
  }

  /** Converts the value of {@code --entry}. */
  static final class Converter implements IStringConverter<EntryAddress> {
    @Override
    public EntryAddress convert(String text) {
      if (!valid(text)) {
        throw new ParameterException(
            "entry \"" + text + "\" is not an address; use host:port such as 127.0.0.1:7001");
      }
      return new EntryAddress(text);
    }
  }
}
