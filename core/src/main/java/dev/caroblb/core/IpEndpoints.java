package dev.caroblb.core;

import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.UnknownHostException;
import java.util.Optional;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

/** Parses addresses of the form {@code IP:port}. Host names are rejected and never resolved. */
public final class IpEndpoints {
  /**
   * Each number is at most 255, since {@link InetAddress#getByName} resolves text such as {@code
   * 999.1.1.1} as a host name. It does not resolve text in brackets.
   */
  private static final String OCTET = "(?:25[0-5]|2[0-4][0-9]|1[0-9]{2}|[1-9]?[0-9])";

  private static final String IPV4 = OCTET + "(?:\\." + OCTET + "){3}";
  private static final String IPV6 = "\\[[0-9A-Fa-f:.]{2,45}\\]";
  private static final Pattern FORMAT =
      Pattern.compile("(" + IPV4 + "|" + IPV6 + "):([1-9][0-9]{0,4})");
  private static final int MAX_PORT = 65_535;
  private static final String BROADCAST = "255.255.255.255";

  private IpEndpoints() {}

  /** Parses an address with a port from 1 to 65535; empty for any other text. */
  public static Optional<InetSocketAddress> parse(String text) {
    Matcher matcher = FORMAT.matcher(text);
    if (!matcher.matches()) {
      return Optional.empty();
    }
    int port = Integer.parseInt(matcher.group(2));
    if (port > MAX_PORT) {
      return Optional.empty();
    }
    try {
      return Optional.of(new InetSocketAddress(InetAddress.getByName(matcher.group(1)), port));
    } catch (UnknownHostException e) {
      return Optional.empty();
    }
  }

  /** Parses an address that a single machine can have; empty for any other text. */
  public static Optional<InetSocketAddress> parseUnicast(String text) {
    return parse(text).filter(endpoint -> unicast(endpoint.getAddress()));
  }

  private static boolean unicast(InetAddress address) {
    return !address.isAnyLocalAddress()
        && !address.isMulticastAddress()
        && !address.getHostAddress().equals(BROADCAST);
  }
}
