package dev.caroblb.cli;

import com.fasterxml.jackson.databind.JsonNode;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;

/**
 * List of the entries that callers may use, as returned by an entry.
 *
 * @param entries the entries
 * @param addressTtlMs time for which the list may be cached
 */
record EntryList(List<Entry> entries, long addressTtlMs) {
  static final String PATH = "/v1/entries";

  /** An entry with the names of its instance and failure domain. */
  record Entry(EntryAddress address, String instance, String domain) {}

  EntryList {
    entries = List.copyOf(entries);
  }

  /** Parses a list; empty when the text is not a list or an address is invalid. */
  static Optional<EntryList> parse(String text) {
    Optional<JsonNode> json = Json.parseObject(text).filter(node -> node.path("entries").isArray());
    if (json.isEmpty()) {
      return Optional.empty();
    }
    List<Entry> entries = new ArrayList<>();
    for (JsonNode entry : json.get().get("entries")) {
      String address = entry.path("address").asText();
      if (!EntryAddress.valid(address)) {
        return Optional.empty();
      }
      entries.add(
          new Entry(
              new EntryAddress(address),
              entry.path("instance").asText(),
              entry.path("domain").asText()));
    }
    return Optional.of(new EntryList(entries, json.get().path("keep_ms").asLong()));
  }

  /** Queries the given entries in order; empty when none returns a list. */
  static Optional<EntryList> fetch(EntryClient client, List<EntryAddress> from)
      throws InterruptedException {
    for (EntryAddress entry : from) {
      Optional<EntryList> list =
          client.get(entry, PATH).toJavaOptional().flatMap(answer -> parse(answer.body()));
      if (list.isPresent()) {
        return list;
      }
    }
    return Optional.empty();
  }
}
