package dev.caroblb.systemtests;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ArrayNode;
import java.io.IOException;
import java.nio.file.Files;
import java.util.Optional;

/** Starts a cluster and queries its state. */
public final class SystemProbe {
  private static final ObjectMapper MAPPER = new ObjectMapper();
  private static final long TIMEOUT_MS = 90_000;

  private final TestCluster cluster;
  private final TestCaller caller;

  public SystemProbe(TestCluster cluster, TestCaller caller) {
    this.cluster = cluster;
    this.caller = caller;
  }

  /** Starts all instances and publishes the example team files as configuration 1. */
  public void startWithTeamFiles() throws Exception {
    cluster.startAll();
    for (String name : cluster.names()) {
      Wait.until(
          name + " lists all instances",
          TIMEOUT_MS,
          () ->
              caller.get(cluster.address(name), "/v1/entries").body().path("entries").size()
                  == cluster.names().size());
    }
    Wait.until("publish 1 is in force", TIMEOUT_MS, () -> publishTeamFiles().equals("in_force"));
    awaitConfiguration(1);
  }

  private String publishTeamFiles() throws IOException, InterruptedException {
    return caller
        .publish(
            cluster.address(cluster.names().get(0)),
            1,
            "start",
            Repository.teamFile("receipts.toml"),
            Repository.teamFile("staffing.toml"))
        .body()
        .path("outcome")
        .asText();
  }

  public JsonNode status(String name) throws IOException, InterruptedException {
    return caller.get(cluster.address(name), "/v1/status").body();
  }

  /**
   * Waits until every running instance admits calls under the given configuration or a newer one.
   */
  public void awaitConfiguration(long number) throws Exception {
    for (String name : cluster.names()) {
      if (!cluster.instance(name).alive()) {
        continue;
      }
      Wait.until(
          name + " admits under configuration " + number,
          TIMEOUT_MS,
          () ->
              status(name).path("configuration").asLong() >= number
                  && status(name).path("admits").asBoolean());
    }
  }

  /** Waits until every instance knows at least the given number of targets. */
  public void awaitTargets(int count) throws Exception {
    for (String name : cluster.names()) {
      Wait.until(
          name + " knows " + count + " targets",
          TIMEOUT_MS,
          () -> status(name).path("targets").asInt() >= count);
    }
  }

  /**
   * State of a consensus group as one replica reports it. Each status request triggers a refresh
   * and does not wait for it, so the state may be as old as the previous request.
   */
  Optional<JsonNode> group(String name, String group) throws IOException, InterruptedException {
    for (JsonNode node : status(name).path("groups")) {
      if (node.path("group").asText().equals(group)) {
        return Optional.of(node);
      }
    }
    return Optional.empty();
  }

  /** Name of the leader of a group as the given replica reports it. */
  Optional<String> leader(String name, String group) throws IOException, InterruptedException {
    return group(name, group).map(node -> node.path("leader").asText()).filter(l -> !l.isEmpty());
  }

  /** Files of a publish: receipts.toml with a different share for the first workspace. */
  public static ArrayNode receiptsWithShare(int share) throws IOException {
    String text =
        Files.readString(Repository.teamFile("receipts.toml"))
            .replaceFirst("share = 60", "share = " + share);
    ArrayNode files = MAPPER.createArrayNode();
    files.addObject().put("name", "receipts.toml").put("text", text);
    return files;
  }
}
