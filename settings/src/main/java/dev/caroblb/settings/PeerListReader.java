package dev.caroblb.settings;

import dev.caroblb.core.FailureDomain;
import dev.caroblb.core.InstanceId;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Optional;
import java.util.Set;

/** Reads the list of instances and validates it against the settings of this instance. */
final class PeerListReader {
  private final TableReader root;
  private final Optional<InstanceId> self;
  private final Optional<FailureDomain> ownDomain;
  private final boolean hasDataFolder;
  private final Set<InstanceId> names = new HashSet<>();
  private final Set<SocketAddress> addresses = new HashSet<>();

  PeerListReader(
      TableReader root,
      Optional<InstanceId> self,
      Optional<FailureDomain> ownDomain,
      boolean hasDataFolder) {
    this.root = root;
    this.self = self;
    this.ownDomain = ownDomain;
    this.hasDataFolder = hasDataFolder;
  }

  List<PeerSettings> read() {
    List<PeerSettings> peers = new ArrayList<>();
    List<TableReader> tables = root.tables("peers");
    for (TableReader table : tables) {
      peer(table).ifPresent(peers::add);
    }
    boolean allReadable = peers.size() == tables.size();
    if (allReadable && !peers.isEmpty()) {
      checkSelf(peers);
      checkReplicas(peers);
    }
    return peers;
  }

  private Optional<PeerSettings> peer(TableReader table) {
    Optional<InstanceId> instance = table.requiredName("instance").map(InstanceId::new);
    Optional<FailureDomain> domain = table.requiredName("domain").map(FailureDomain::new);
    Optional<SocketAddress> peersAddress = SettingsReader.address(table, "peers_address");
    Optional<SocketAddress> callersAddress = SettingsReader.address(table, "callers_address");
    Optional<Boolean> replica = table.requiredFlag("replica");
    table.rejectUnknownKeys();
    if (instance.isEmpty()
        || domain.isEmpty()
        || peersAddress.isEmpty()
        || callersAddress.isEmpty()
        || replica.isEmpty()) {
      return Optional.empty();
    }
    PeerSettings peer =
        new PeerSettings(
            instance.get(), domain.get(), peersAddress.get(), callersAddress.get(), replica.get());
    checkPeer(table, peer);
    return Optional.of(peer);
  }

  private void checkPeer(TableReader table, PeerSettings peer) {
    if (!names.add(peer.instance())) {
      table.addContradiction(
          "instance", "\"" + peer.instance() + "\" again", "each name once", "rename or remove it");
    }
    checkReachable(table, "callers_address", peer.callersAddress());
    checkReachable(table, "peers_address", peer.peersAddress());
    boolean own = self.equals(Optional.of(peer.instance()));
    if (peer.peersAddress().port() == 0) {
      if (!own) {
        table.addContradiction(
            "peers_address",
            "port 0",
            "a port from 1 to 65535 for another instance",
            "name the port that instance listens on");
      }
      return;
    }
    if (!addresses.add(peer.peersAddress())) {
      table.addContradiction(
          "peers_address", peer.peersAddress() + " again", "each address once", "correct it");
    }
  }

  private static void checkReachable(TableReader table, String key, SocketAddress address) {
    if (address.wildcard()) {
      table.addContradiction(
          key,
          address.toString(),
          "an address that others can connect to",
          "name the address of the machine");
    }
  }

  private void checkSelf(List<PeerSettings> peers) {
    if (self.isEmpty()) {
      return;
    }
    Optional<PeerSettings> own =
        peers.stream().filter(peer -> peer.instance().equals(self.get())).findFirst();
    if (own.isEmpty()) {
      root.addContradiction(
          "instance",
          "\"" + self.get() + "\", which is not in [[peers]]",
          "an instance of [[peers]]",
          "add this instance to [[peers]]");
      return;
    }
    if (ownDomain.isPresent() && !ownDomain.get().equals(own.get().domain())) {
      root.addContradiction(
          "domain",
          "\"" + ownDomain.get() + "\", but [[peers]] says \"" + own.get().domain() + "\"",
          "the same domain in both places",
          "correct one of them");
    }
    checkDataFolder(own.get());
  }

  private void checkDataFolder(PeerSettings own) {
    if (own.replica() && !hasDataFolder) {
      root.addContradiction(
          "data_folder",
          "no value, but [[peers]] lists \"" + own.instance() + "\" as a replica",
          "a path on a replica",
          "name a folder, or set replica = false in [[peers]] on every instance");
    }
    if (!own.replica() && hasDataFolder) {
      root.addContradiction(
          "data_folder",
          "a path, but [[peers]] does not list \"" + own.instance() + "\" as a replica",
          "no value on an instance that is not a replica",
          "remove the key, or set replica = true in [[peers]] on every instance");
    }
  }

  private void checkReplicas(List<PeerSettings> peers) {
    if (peers.stream().noneMatch(PeerSettings::replica)) {
      root.addContradiction(
          "peers",
          "no replica",
          "at least one replica, three or five to survive failures",
          "set replica = true for the instances with a disk");
    }
  }
}
