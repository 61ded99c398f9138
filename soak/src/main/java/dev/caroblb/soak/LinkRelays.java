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

/** A relay on each link between two instances, created when the settings name the link. */
final class Links implements PeerAddresses, AutoCloseable {
  /** Ports of relays on the address of the instance that connects. */
  private static final int FIRST_PORT = 7_300;

  private record Link(String from, String to) {}

  private final ExecutorService threads = Executors.newCachedThreadPool(Links::daemon);
  private final Map<Link, LinkRelay> relays = new HashMap<>();
  private final Map<Link, String> addresses = new HashMap<>();

  private static Thread daemon(Runnable task) {
    Thread thread = new Thread(task, "relay");
    thread.setDaemon(true);
    return thread;
  }

  @Override
  public String seenBy(String from, String to, String address) throws IOException {
    if (from.equals(to)) {
      return address;
    }
    Link link = new Link(from, to);
    if (!addresses.containsKey(link)) {
      InetSocketAddress target = parse(address);
      InetSocketAddress listenOn =
          new InetSocketAddress(target.getAddress(), FIRST_PORT + addresses.size());
      relays.put(link, new LinkRelay(listenOn, target, threads));
      addresses.put(link, listenOn.getHostString() + ":" + listenOn.getPort());
    }
    return addresses.get(link);
  }

  private static InetSocketAddress parse(String address) {
    int colon = address.lastIndexOf(':');
    return new InetSocketAddress(
        address.substring(0, colon), Integer.parseInt(address.substring(colon + 1)));
  }

  /** Sets the mode of all links of an instance, in both directions of connecting. */
  void set(String instance, LinkMode mode) {
    relays.forEach(
        (link, relay) -> {
          if (link.from().equals(instance) || link.to().equals(instance)) {
            relay.set(mode);
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
    threads.shutdownNow();
    if (!failures.isEmpty()) {
      throw failures.get(0);
    }
  }
}
