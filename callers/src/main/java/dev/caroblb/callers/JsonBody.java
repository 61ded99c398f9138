package dev.caroblb.callers;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.DeserializationFeature;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import dev.caroblb.core.Payload;
import java.util.Optional;

/** Reads fields of a JSON request body; error messages name the invalid field. */
final class JsonBody {
  private static final ObjectMapper MAPPER =
      new ObjectMapper()
          .enable(DeserializationFeature.FAIL_ON_TRAILING_TOKENS)
          .enable(DeserializationFeature.FAIL_ON_READING_DUP_TREE_KEY);

  private final JsonNode node;

  private JsonBody(JsonNode node) {
    this.node = node;
  }

  /** Parses a body that must be a JSON object. */
  static JsonBody parse(Payload body) throws MalformedBodyException {
    try {
      JsonNode node = MAPPER.readTree(body.text());
      if (node == null || !node.isObject()) {
        throw new MalformedBodyException("the body must be a JSON object");
      }
      return new JsonBody(node);
    } catch (JsonProcessingException e) {
      throw new MalformedBodyException("the body is not valid JSON: " + e.getOriginalMessage());
    }
  }

  JsonNode array(String field) throws MalformedBodyException {
    JsonNode value = node.path(field);
    if (!value.isArray()) {
      throw new MalformedBodyException("\"" + field + "\" must be an array");
    }
    return value;
  }

  static JsonBody object(JsonNode node, String where) throws MalformedBodyException {
    if (!node.isObject()) {
      throw new MalformedBodyException(where + " must be an object");
    }
    return new JsonBody(node);
  }

  Optional<JsonBody> optionalObject(String field) throws MalformedBodyException {
    JsonNode value = node.path(field);
    if (value.isMissingNode() || value.isNull()) {
      return Optional.empty();
    }
    return Optional.of(object(value, "\"" + field + "\""));
  }

  boolean has(String field) {
    return node.has(field);
  }

  String text(String field) throws MalformedBodyException {
    JsonNode value = node.path(field);
    if (!value.isTextual()) {
      throw new MalformedBodyException("\"" + field + "\" must be a string");
    }
    return value.textValue();
  }

  long integer(String field) throws MalformedBodyException {
    JsonNode value = node.path(field);
    if (!value.isIntegralNumber() || !value.canConvertToLong() || value.longValue() < 0) {
      throw new MalformedBodyException("\"" + field + "\" must be an integer of at least 0");
    }
    return value.longValue();
  }

  int smallInteger(String field) throws MalformedBodyException {
    long value = integer(field);
    if (value > Integer.MAX_VALUE) {
      throw new MalformedBodyException("\"" + field + "\" must be at most " + Integer.MAX_VALUE);
    }
    return (int) value;
  }

  boolean flag(String field) throws MalformedBodyException {
    JsonNode value = node.path(field);
    if (value.isMissingNode()) {
      return false;
    }
    if (!value.isBoolean()) {
      throw new MalformedBodyException("\"" + field + "\" must be true or false");
    }
    return value.booleanValue();
  }
}
