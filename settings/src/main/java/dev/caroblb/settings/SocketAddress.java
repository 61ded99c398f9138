package dev.caroblb.settings;

import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.UnknownHostException;
import java.util.Optional;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

/**
 * IP address and TCP port. Host names are not accepted, so that reading settings never blocks on
 * name resolution.
 *
 * @param host IPv4 address, or IPv6 address without brackets
 * @param port TCP port; 0 lets the operating system choose one
 */
public record SocketAddress(String host, int port) {
  private static final String OCTET = "(?:25[0-5]|2[0-4][0-9]|1?[0-9]{1,2})";
  private static final Pattern FORMAT =
      Pattern.compile(
          "(?:\\[([0-9A-Fa-f:.]{2,45})]|(" + OCTET + "(?:\\." + OCTET + "){3})):([0-9]{1,5})");
  private static final int MAX_PORT = 65_535;

  /**
   * Parses text such as {@code 127.0.0.1:7001} or {@code [::1]:7001}; empty if it has another
   * format.
   */
  public static Optional<SocketAddress> parse(String text) {
    Matcher matcher = FORMAT.matcher(text);
    if (!matcher.matches()) {
      return Optional.empty();
    }
    String host = matcher.group(1) != null ? matcher.group(1) : matcher.group(2);
    int port = Integer.parseInt(matcher.group(3));
    if (port > MAX_PORT || ipAddress(host).isEmpty()) {
      return Optional.empty();
    }
    return Optional.of(new SocketAddress(host, port));
  }

  /** Whether the host is the wildcard address, which stands for all addresses of the machine. */
  public boolean wildcard() {
    return ipAddress(host).map(InetAddress::isAnyLocalAddress).orElse(false);
  }

  /** Converts this address for use with sockets. */
  public InetSocketAddress toInetSocketAddress() {
    return new InetSocketAddress(ipAddress(host).orElseThrow(), port);
  }

  /** Parses an IP literal; {@link InetAddress} does no name resolution for such text. */
  private static Optional<InetAddress> ipAddress(String host) {
    try {
      return Optional.of(InetAddress.getByName(host.indexOf(':') >= 0 ? "[" + host + "]" : host));
    } catch (UnknownHostException e) {
      return Optional.empty();
    }
  }

  @Override
  public String toString() {
    return host.indexOf(':') >= 0 ? "[" + host + "]:" + port : host + ":" + port;
  }
}
