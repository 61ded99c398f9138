package dev.caroblb.standins.process;

import com.beust.jcommander.JCommander;
import com.beust.jcommander.Parameter;
import com.fasterxml.jackson.databind.node.JsonNodeFactory;
import com.fasterxml.jackson.databind.node.ObjectNode;
import dev.caroblb.core.SystemMillisClock;
import dev.caroblb.http.HttpConnector;
import dev.caroblb.http.HttpLimits;
import dev.caroblb.http.HttpListener;
import dev.caroblb.http.RequestHandler;
import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.util.ArrayList;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.Executors;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;

/** Starts a stand-in; prints {@code ready address=host:port} once it is listening. */
public final class StandinMain {
  private static final long ANNOUNCE_INTERVAL_MS = 1_000;
  private static final long TICK_INTERVAL_MS = 2;
  private static final long CONNECT_TIMEOUT_MS = 1_000;

  /** After this time without a response, later announcements go to the next entry. */
  private static final long IDLE_TIMEOUT_MS = 2_000;

  @Parameter(names = "--kind", required = true, description = "engine or service")
  private String kind = "";

  @Parameter(names = "--target", required = true, description = "name of the target")
  private String target = "";

  @Parameter(names = "--domain", required = true, description = "failure domain")
  private String domain = "";

  @Parameter(
      names = "--incarnation",
      description = "incarnation; must be larger after each restart")
  private long incarnation = 1;

  @Parameter(names = "--serves", required = true, description = "names of models or services")
  private List<String> serves = new ArrayList<>();

  @Parameter(names = "--entries", required = true, description = "entry addresses to announce to")
  private List<String> entries = new ArrayList<>();

  @Parameter(names = "--token", required = true, description = "token for announcements")
  private String token = "";

  @Parameter(names = "--port", description = "port to listen on; 0 for any free port")
  private int port;

  @Parameter(names = "--empty", description = "start an engine without a loaded model")
  private boolean empty;

  @Parameter(
      names = "--ignore-fencing",
      description = "accept orders with an outdated fencing token")
  private boolean ignoreFencing;

  private StandinMain() {}

  public static void main(String[] args) throws IOException {
    StandinMain main = new StandinMain();
    JCommander.newBuilder().addObject(main).build().parse(args);
    main.run();
  }

  private void run() throws IOException {
    SystemMillisClock clock = new SystemMillisClock();
    RequestHandler handler;
    Standin standin;
    Optional<StandinEngine> leavableEngine = Optional.empty();
    if (kind.equals("engine")) {
      StandinEngine engine =
          new StandinEngine(clock, !ignoreFencing, empty ? Set.of() : new LinkedHashSet<>(serves));
      handler = engine;
      standin = engine;
      leavableEngine = Optional.of(engine);
    } else {
      StandinService service = new StandinService(new LinkedHashSet<>(serves));
      handler = service;
      standin = service;
    }
    HttpListener listener =
        HttpListener.start(
            new InetSocketAddress(InetAddress.getLoopbackAddress(), port),
            HttpLimits.DEFAULTS,
            handler,
            status -> {});
    String address = "127.0.0.1:" + listener.address().getPort();
    HttpConnector connector = new HttpConnector(1, CONNECT_TIMEOUT_MS, IDLE_TIMEOUT_MS);
    Announcer announcer = new Announcer(connector, token, fixedFields(address), standin, entries);
    leavableEngine.ifPresent(engine -> engine.setLeaveAction(announcer::announceLeaving));
    schedule(announcer, standin, clock);
    Runtime.getRuntime().addShutdownHook(new Thread(announcer::announceLeaving));
    System.out.println("ready address=" + address);
  }

  private ObjectNode fixedFields(String address) {
    return JsonNodeFactory.instance
        .objectNode()
        .put("target", target)
        .put("incarnation", incarnation)
        .put("kind", kind)
        .put("domain", domain)
        .put("address", address);
  }

  private static void schedule(Announcer announcer, Standin standin, SystemMillisClock clock) {
    ScheduledExecutorService timer = Executors.newScheduledThreadPool(1);
    var unusedAnnounce =
        timer.scheduleAtFixedRate(
            announcer::announce, 0, ANNOUNCE_INTERVAL_MS, TimeUnit.MILLISECONDS);
    var unusedTick =
        timer.scheduleAtFixedRate(
            () -> standin.tick(clock.nowMs()),
            TICK_INTERVAL_MS,
            TICK_INTERVAL_MS,
            TimeUnit.MILLISECONDS);
  }
}
