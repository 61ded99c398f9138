package dev.caroblb.transport;

import dev.caroblb.core.InstanceId;
import dev.caroblb.core.LogLine;
import dev.caroblb.core.MillisClock;
import dev.caroblb.core.Names;
import dev.caroblb.core.Payload;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.net.StandardSocketOptions;
import java.nio.ByteBuffer;
import java.nio.channels.SelectionKey;
import java.nio.channels.Selector;
import java.nio.channels.ServerSocketChannel;
import java.nio.channels.SocketChannel;
import java.nio.charset.StandardCharsets;
import java.security.MessageDigest;
import java.util.ArrayList;
import java.util.EnumMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.atomic.AtomicBoolean;

/**
 * Connects this instance to its peers, using one thread and one selector. Each instance sends on
 * the connections it dialed and receives on those it accepted. Delivery is best effort.
 */
public final class PeerTransport implements AutoCloseable {
  private static final System.Logger LOGGER = System.getLogger(PeerTransport.class.getName());
  private static final long MAINTENANCE_INTERVAL_MS = 50;

  /** Maintenance interval while all connections are up and nothing is queued. */
  private static final long IDLE_MAINTENANCE_INTERVAL_MS = 250;

  /** The connection and queue of a peer are removed if nothing was sent to it for this time. */
  private static final long PEER_IDLE_TIMEOUT_MS = 30_000;

  private final Hello self;
  private final Selector selector;
  private final ServerSocketChannel listener;
  private final List<InboundPeer> accepted = new ArrayList<>();
  private final Map<InstanceId, OutboundPeer> peers = new ConcurrentHashMap<>();
  private final PeerDirectory directory;
  private final MillisClock clock;
  private final Map<Channel, PeerReceiver> receivers = new EnumMap<>(Channel.class);
  private final TransportCounters counters = new TransportCounters();
  private final AtomicBoolean wakeupPending = new AtomicBoolean();
  private final ExecutorService executor =
      Executors.newSingleThreadExecutor(task -> new Thread(task, "transport"));
  private volatile boolean stopped;

  /** Binds the listening address; port 0 selects a free port. */
  public PeerTransport(
      Hello self, InetSocketAddress address, PeerDirectory directory, MillisClock clock)
      throws IOException {
    this.self = self;
    this.directory = directory;
    this.clock = clock;
    selector = Selector.open();
    listener = ServerSocketChannel.open();
    listener.setOption(StandardSocketOptions.SO_REUSEADDR, true);
    listener.configureBlocking(false);
    listener.bind(address);
    listener.register(selector, SelectionKey.OP_ACCEPT);
  }

  /** Starts dialing a peer before the first message to it. */
  public void connect(InstanceId peer) {
    peer(peer);
  }

  private Optional<OutboundPeer> peer(InstanceId id) {
    OutboundPeer known = peers.get(id);
    if (known != null) {
      return Optional.of(known);
    }
    return directory
        .address(id)
        .map(
            address ->
                peers.computeIfAbsent(
                    id, key -> new OutboundPeer(key, address, self, clock, counters)));
  }

  /** Registers the receiver of a channel; must be called before {@link #start()}. */
  public void registerReceiver(Channel channel, PeerReceiver receiver) {
    receivers.put(channel, receiver);
  }

  /** Starts the transport thread. */
  public void start() {
    executor.execute(this::run);
  }

  public InetSocketAddress address() throws IOException {
    return (InetSocketAddress) listener.getLocalAddress();
  }

  public TransportCounters counters() {
    return counters;
  }

  /**
   * Queues a message without blocking; returns false if the peer is unknown, its queue is full or
   * the message is too large.
   */
  public boolean send(InstanceId to, Channel channel, Payload body) {
    return send(to, encode(channel, body));
  }

  /** Encodes a message that is sent to several peers; its bytes are shared by their queues. */
  public static ByteBuffer encode(Channel channel, Payload body) {
    return FrameCodec.encode(new Frame(channel, body)).asReadOnlyBuffer();
  }

  /**
   * Queues an encoded message without blocking; returns false if the peer is unknown, its queue is
   * full or the message is too large.
   */
  public boolean send(InstanceId to, ByteBuffer frame) {
    Optional<OutboundPeer> peer = peer(to);
    if (peer.isEmpty()) {
      return false;
    }
    if (frame.remaining() > FrameCodec.MAX_FRAME_BYTES) {
      counters.countDropped();
      return false;
    }
    boolean queued = peer.get().enqueue(frame.duplicate());
    if (wakeupPending.compareAndSet(false, true)) {
      selector.wakeup();
    }
    return queued;
  }

  private void run() {
    while (!stopped) {
      try {
        selector.select(selectTimeoutMs());
        wakeupPending.set(false);
        for (SelectionKey key : selector.selectedKeys()) {
          onReady(key);
        }
        selector.selectedKeys().clear();
        maintain();
      } catch (IOException | RuntimeException e) {
        LOGGER.log(
            System.Logger.Level.ERROR,
            LogLine.of("transport.fault").with("cause", e).toString(),
            e);
      }
    }
  }

  private long selectTimeoutMs() {
    for (OutboundPeer peer : peers.values()) {
      if (peer.needsFrequentMaintenance()) {
        return MAINTENANCE_INTERVAL_MS;
      }
    }
    return IDLE_MAINTENANCE_INTERVAL_MS;
  }

  private void maintain() {
    long nowMs = clock.nowMs();
    for (OutboundPeer peer : peers.values()) {
      if (peer.idleMs(nowMs) < PEER_IDLE_TIMEOUT_MS) {
        peer.maintain(selector);
      } else {
        peer.disconnect();
      }
    }
    peers.values().removeIf(peer -> peer.idleMs(nowMs) >= PEER_IDLE_TIMEOUT_MS);
    accepted.removeIf(inbound -> !inbound.open());
    accepted.forEach(InboundPeer::maintain);
  }

  private void onReady(SelectionKey key) throws IOException {
    if (!key.isValid()) {
      return;
    }
    if (key.isAcceptable()) {
      accept();
    } else if (key.attachment() instanceof OutboundPeer outbound) {
      outbound.onReady();
    } else if (key.attachment() instanceof InboundPeer inbound) {
      inbound.onReadable();
    }
  }

  private void accept() throws IOException {
    SocketChannel channel = listener.accept();
    if (channel == null) {
      return;
    }
    channel.configureBlocking(false);
    InboundPeer inbound = new InboundPeer(channel, clock, this::accepts, receivers, counters);
    accepted.add(inbound);
    channel.register(selector, SelectionKey.OP_READ, inbound);
  }

  private boolean accepts(Hello hello) {
    return hello.cluster().equals(self.cluster())
        && Names.valid(hello.instance())
        && directory.address(new InstanceId(hello.instance())).isPresent()
        && MessageDigest.isEqual(
            hello.token().getBytes(StandardCharsets.UTF_8),
            self.token().getBytes(StandardCharsets.UTF_8));
  }

  @Override
  public void close() {
    stopped = true;
    selector.wakeup();
    executor.shutdown();
    try {
      executor.awaitTermination(1, java.util.concurrent.TimeUnit.SECONDS);
      for (SelectionKey key : selector.keys()) {
        SelectableChannels.closeQuietly(key.channel());
      }
      selector.close();
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
    } catch (IOException e) {
      LOGGER.log(
          System.Logger.Level.WARNING,
          LogLine.of("transport.close_failed").with("cause", e).toString());
    }
  }
}
