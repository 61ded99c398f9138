package dev.caroblb.cli;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import java.util.Optional;

/** Reads and writes JSON. Objects are read as trees, so that newer entries can add fields. */
final class Json {
  private static final ObjectMapper MAPPER = new ObjectMapper();

  private Json() {}

  /** Parses a JSON object; empty when the text is anything else. */
  static Optional<JsonNode> parseObject(String text) {
    try {
      return Optional.ofNullable(MAPPER.readTree(text)).filter(JsonNode::isObject);
    } catch (JsonProcessingException e) {
      return Optional.empty();
    }
  }

  static String write(Object value) {
    return write(value, false);
  }

  static String write(Object value, boolean indented) {
    try {
      return indented
          ? MAPPER.writerWithDefaultPrettyPrinter().writeValueAsString(value)
          : MAPPER.writeValueAsString(value);
    } catch (JsonProcessingException e) {
      throw new IllegalArgumentException("value cannot be written as JSON: " + value, e);
    }
  }
}
