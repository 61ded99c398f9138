package dev.caroblb.engines;

import dev.caroblb.core.InstanceId;
import dev.caroblb.core.IpEndpoints;
import dev.caroblb.core.LogLine;
import dev.caroblb.core.Outlet;
import dev.caroblb.core.Payload;
import dev.caroblb.http.HttpConnector;
import dev.caroblb.http.OutgoingRequest;
import dev.caroblb.http.ResponseSink;
import dev.caroblb.streams.EngineCommand;
import dev.caroblb.streams.EngineEvent;
import dev.caroblb.streams.StreamsMessage;
import java.net.InetSocketAddress;
import java.nio.ByteBuffer;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.ConcurrentHashMap;

/**
 * Executes the commands of the streams duty. Every link has a connection of its own. At most one
 * batch of events per link is in flight to the streams duty, which bounds the messages in its ring.
 */
public final class EngineLinks implements Outlet<EngineCommand> {
  private static final System.Logger LOGGER = System.getLogger(EngineLinks.class.getName());

  private final HttpConnector connector;
  private final EngineRequests requests;
  private final Outlet<StreamsMessage> streams;
  private final Map<Long, EngineLink> links = new ConcurrentHashMap<>();

  public EngineLinks(HttpConnector connector, InstanceId self, Outlet<StreamsMessage> streams) {
    this.connector = connector;
    this.requests = new EngineRequests(self);
    this.streams = streams;
  }

  @Override
  public boolean offer(EngineCommand command) {
    if (command instanceof EngineCommand.Generate generate) {
      String address = generate.endpoint().address();
      open(generate.link(), address, requests.generate(generate), AnswerKind.EVENT_STREAM);
    } else if (command instanceof EngineCommand.Resume resume) {
      String address = resume.endpoint().address();
      open(resume.link(), address, requests.resume(resume), AnswerKind.EVENT_STREAM);
    } else if (command instanceof EngineCommand.CallService call) {
      open(call.link(), call.endpoint().address(), requests.call(call), AnswerKind.WHOLE);
    } else if (command instanceof EngineCommand.Cancel cancel) {
      cancel(cancel);
    } else if (command instanceof EngineCommand.Close close) {
      Optional.ofNullable(links.remove(close.link())).ifPresent(EngineLink::close);
    } else if (command instanceof EngineCommand.Consumed consumed) {
      Optional.ofNullable(links.get(consumed.link())).ifPresent(EngineLink::consumed);
    }
    return true;
  }

  private void open(long id, String address, OutgoingRequest request, AnswerKind kind) {
    EngineLink link = new EngineLink(id, kind, streams);
    links.put(id, link);
    Optional<InetSocketAddress> resolved = IpEndpoints.parse(address);
    if (resolved.isEmpty()) {
      link.failed(false, "the target announced the invalid address " + address);
      return;
    }
    link.attach(connector.execute(resolved.get(), request, link));
  }

  private void cancel(EngineCommand.Cancel cancel) {
    Optional<InetSocketAddress> address = IpEndpoints.parse(cancel.endpoint().address());
    if (address.isEmpty()) {
      return;
    }
    connector.execute(address.get(), requests.cancel(cancel), new CancelSink(cancel));
  }

  /** Number of open links. */
  public int openLinks() {
    return links.size();
  }

  /** Format of the answer on a link. */
  enum AnswerKind {
    EVENT_STREAM,
    WHOLE
  }

  /** Logs a failed cancel; the engine then ends the generation by its abandonment timer. */
  private record CancelSink(EngineCommand.Cancel cancel) implements ResponseSink {
    @Override
    public void head(int status, Map<String, String> headers) {}

    @Override
    public void data(ByteBuffer part) {
      part.position(part.limit());
    }

    @Override
    public void end() {}

    @Override
    public void failed(boolean written, String cause) {
      LOGGER.log(
          System.Logger.Level.INFO,
          LogLine.of("generation.cancel_failed")
              .with("generation", cancel.generation())
              .with("cause", cause)
              .toString());
    }
  }

  /** Text of an answer body, truncated to the length of a log line. */
  static String excerpt(Payload body) {
    String text = body.text();
    return text.length() <= 200 ? text : text.substring(0, 200);
  }

  /** Event for an answer which proves that the request did not run. */
  static EngineEvent rejected(int status, Payload body) {
    return new EngineEvent.Rejected(
        status, "the target answered with status " + status + ": " + excerpt(body));
  }
}
