package dev.caroblb.soak;

import dev.caroblb.systemtests.PeerAddresses;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;

/**
 * The relays of all links between two instances. A relay is created when its address is first asked
 * for, which is when the settings of the instances are written.
 */
final class LinkRelays implements PeerAddresses, AutoCloseable {
  /** First port of the relays. They listen on the IP address of the instance they forward to. */
  private static final int FIRST_RELAY_PORT = 7_300;

  private record Link(String from, String to) {}

  private final ExecutorService executor = Executors.newCachedThreadPool(LinkRelays::daemonThread);
  private final Map<Link, LinkRelay> relays = new HashMap<>();
  private final Map<Link, String> addresses = new HashMap<>();

  private static Thread daemonThread(Runnable task) {
    Thread thread = new Thread(task, "relay");
    thread.setDaemon(true);
    return thread;
  }

  @Override
  public String addressFor(String from, String to, String listenAddress) throws IOException {
    if (from.equals(to)) {
      return listenAddress;
    }
    Link link = new Link(from, to);
    if (!addresses.containsKey(link)) {
      InetSocketAddress destination = parseAddress(listenAddress);
      InetSocketAddress relayAddress =
          new InetSocketAddress(destination.getAddress(), FIRST_RELAY_PORT + addresses.size());
      relays.put(link, new LinkRelay(relayAddress, destination, executor));
      addresses.put(link, relayAddress.getHostString() + ":" + relayAddress.getPort());
    }
    return addresses.get(link);
  }

  private static InetSocketAddress parseAddress(String address) {
    int colon = address.lastIndexOf(':');
    return new InetSocketAddress(
        address.substring(0, colon), Integer.parseInt(address.substring(colon + 1)));
  }

  /** Sets the mode of all links that an instance opens or accepts. */
  void setMode(String instance, LinkMode mode) {
    relays.forEach(
        (link, relay) -> {
          if (link.from().equals(instance) || link.to().equals(instance)) {
            relay.setMode(mode);
          }
        });
  }

  @Override
  public void close() throws IOException {
    List<IOException> failures = new ArrayList<>();
    for (LinkRelay relay : relays.values()) {
      try {
        relay.close();
      } catch (IOException e) {
        failures.add(e);
      }
    }
    executor.shutdownNow();
    if (!failures.isEmpty()) {
      throw failures.get(0);
    }
  }
}
