package dev.caroblb.engines;

import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.UnknownHostException;
import java.util.Optional;
import java.util.regex.Pattern;

/** Parses addresses of the form {@code host:port} where the host is an IP address. */
public final class Addresses {
  private static final Pattern IPV4 = Pattern.compile("\\d{1,3}(\\.\\d{1,3}){3}");
  private static final Pattern IPV6 = Pattern.compile("\\[[0-9a-fA-F:.]+\\]");
  private static final int MAX_PORT = 65_535;

  private Addresses() {}

  /** Returns the address, or empty if the text has another form; host names are not resolved. */
  public static Optional<InetSocketAddress> parse(String text) {
    int colon = text.lastIndexOf(':');
    if (colon < 0) {
      return Optional.empty();
    }
    String host = text.substring(0, colon);
    if (!IPV4.matcher(host).matches() && !IPV6.matcher(host).matches()) {
      return Optional.empty();
    }
    try {
      int port = Integer.parseInt(text.substring(colon + 1));
      if (port < 0 || port > MAX_PORT) {
        return Optional.empty();
      }
      return Optional.of(new InetSocketAddress(InetAddress.getByName(host), port));
    } catch (NumberFormatException | UnknownHostException e) {
      return Optional.empty();
    }
  }
}
