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
 * Connects this instance to its peers with one thread and one selector. Each instance sends on the
 * connections it dialled and receives on those it accepted. Delivery is best effort.
 */
public final class PeerTransport implements AutoCloseable {
  private static final System.Logger LOGGER = System.getLogger(PeerTransport.class.getName());
  private static final long MAINTAIN_MS = 50;

  /** Pause of the selector while all connections are up and nothing waits to be sent. */
  private static final long IDLE_MAINTAIN_MS = 250;

  /** A peer to which nothing was sent for this time loses its connection and its queue. */
  private static final long FORGET_AFTER_MS = 30_000;

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

  /** Binds the listening address; port 0 lets the system choose one. */
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

  /** Dials a peer before the first message to it. */
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

  /** Sets who receives a channel; to be called before {@link #start()}. */
  public void receive(Channel channel, PeerReceiver receiver) {
    receivers.put(channel, receiver);
  }

  /** Starts the thread of the transport. */
  public void start() {
    executor.execute(this::run);
  }

  public InetSocketAddress address() throws IOException {
    return (InetSocketAddress) listener.getLocalAddress();
  }

  public TransportCounters counters() {
    return counters;
  }

  /** Sends a message without waiting; false when the peer is unknown or its queue is full. */
  public boolean send(InstanceId to, Channel channel, Payload body) {
    Optional<OutboundPeer> peer = peer(to);
    if (peer.isEmpty()) {
      return false;
    }
    ByteBuffer frame = FrameCodec.encode(new Frame(channel, body));
    if (frame.remaining() > FrameCodec.MAX_FRAME_BYTES) {
      counters.dropped();
      return false;
    }
    boolean queued = peer.get().enqueue(frame);
    if (wakeupPending.compareAndSet(false, true)) {
      selector.wakeup();
    }
    return queued;
  }

  private void run() {
    while (!stopped) {
      try {
        selector.select(pauseMs());
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

  private long pauseMs() {
    for (OutboundPeer peer : peers.values()) {
      if (peer.busy()) {
        return MAINTAIN_MS;
      }
    }
    return IDLE_MAINTAIN_MS;
  }

  private void maintain() {
    long nowMs = clock.nowMs();
    for (OutboundPeer peer : peers.values()) {
      if (peer.unusedFor(nowMs) < FORGET_AFTER_MS) {
        peer.maintain(selector);
      } else {
        peer.disconnect();
      }
    }
    peers.values().removeIf(peer -> peer.unusedFor(nowMs) >= FORGET_AFTER_MS);
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
        Channels.closeQuietly(key.channel());
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
