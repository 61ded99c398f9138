package dev.caroblb.standins.process;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.JsonNodeFactory;
import com.fasterxml.jackson.databind.node.ObjectNode;
import dev.caroblb.core.Payload;
import dev.caroblb.http.HttpConnector;
import dev.caroblb.http.OutgoingRequest;
import dev.caroblb.http.ResponseSink;
import java.io.ByteArrayOutputStream;
import java.net.InetSocketAddress;
import java.nio.ByteBuffer;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;

/** Announces a stand-in to one entry, and fails over to the next one on an error. */
final class Announcer {
  private static final ObjectMapper MAPPER = new ObjectMapper();
  private static final int OK = 200;

  private final HttpConnector connector;
  private final String token;
  private final ObjectNode fixedFields;
  private final Standin standin;
  private final Set<String> entries;
  private int entryIndex;
  private long sequence;
  private boolean leaving;

  Announcer(
      HttpConnector connector,
      String token,
      ObjectNode fixedFields,
      Standin standin,
      List<String> entries) {
    this.connector = connector;
    this.token = token;
    this.fixedFields = fixedFields;
    this.standin = standin;
    this.entries = new LinkedHashSet<>(entries);
  }

  /** Announces that the target is leaving, now and in all later announcements. */
  synchronized void announceLeaving() {
    leaving = true;
    announce();
  }

  /** Sends one announcement. */
  synchronized void announce() {
    sequence++;
    ObjectNode body = JsonNodeFactory.instance.objectNode();
    body.setAll(fixedFields);
    body.put("sequence", sequence);
    body.put("leaving", leaving);
    standin.addToAnnouncement(body);
    List<String> known = List.copyOf(entries);
    String entry = known.get(Math.floorMod(entryIndex, known.size()));
    int colon = entry.lastIndexOf(':');
    connector.execute(
        new InetSocketAddress(
            entry.substring(0, colon), Integer.parseInt(entry.substring(colon + 1))),
        new OutgoingRequest(
            "POST",
            "/v1/targets",
            Map.of("Authorization", "Bearer " + token),
            "application/json",
            Payload.ofText(body.toString())),
        new AnnouncementResponseSink());
  }

  private synchronized void useNextEntry() {
    entryIndex++;
  }

  private synchronized void addEntries(String json) {
    try {
      for (JsonNode entry : MAPPER.readTree(json).path("entries")) {
        entries.add(entry.path("address").asText());
      }
    } catch (JsonProcessingException e) {
      entryIndex++;
    }
  }

  private final class AnnouncementResponseSink implements ResponseSink {
    private final ByteArrayOutputStream body = new ByteArrayOutputStream();
    private int status;

    @Override
    public void head(int status, Map<String, String> headers) {
      this.status = status;
    }

    @Override
    public void data(ByteBuffer part) {
      byte[] bytes = new byte[part.remaining()];
      part.get(bytes);
      body.write(bytes, 0, bytes.length);
    }

    @Override
    public void end() {
      if (status == OK) {
        addEntries(Payload.copyOf(body.toByteArray()).text());
        return;
      }
      useNextEntry();
    }

    @Override
    public void failed(boolean written, String cause) {
      useNextEntry();
    }
  }
}
