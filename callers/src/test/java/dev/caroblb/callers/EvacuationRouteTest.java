package dev.caroblb.callers;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import dev.caroblb.core.Payload;
import dev.caroblb.core.RefusalReason;
import dev.caroblb.http.HeaderField;
import dev.caroblb.http.IncomingRequest;
import dev.caroblb.http.Reply;
import java.lang.reflect.Proxy;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;

class EvacuationRouteTest {
  private final FixedEvacuations evacuations = new FixedEvacuations();
  private final List<RefusalReason> refused = new ArrayList<>();
  private final List<String> replies = new ArrayList<>();
  private final EvacuationRoute route =
      new EvacuationRoute(BearerTokens.sha256("operator"), evacuations, refused::add);

  /** A reply that records status and body. */
  private Reply reply() {
    return (Reply)
        Proxy.newProxyInstance(
            Reply.class.getClassLoader(),
            new Class<?>[] {Reply.class},
            (proxy, method, arguments) -> {
              replies.add(arguments[0] + " " + ((Payload) arguments[2]).text());
              return null;
            });
  }

  private void request(String method, String domain, String token) {
    List<String> path = Arrays.asList("v1", "evacuations", domain);
    assertTrue(route.matches(method, path));
    HeaderField header = new HeaderField("Authorization", "Bearer " + token);
    route.handle(
        new IncomingRequest(method, "/v1/evacuations/" + domain, List.of(header), Payload.empty()),
        path,
        reply());
  }

  @Nested
  class Orders {
    /** Guards against an answer that does not show whether the order was accepted. */
    @Test
    void areAnsweredWithTheirOutcome() {
      request("POST", FixedEvacuations.DOMAIN, "operator");
      request("DELETE", FixedEvacuations.DOMAIN, "operator");
      assertEquals(List.of("begin domain-1", "end domain-1"), evacuations.orders);
      assertEquals(
          List.of(
              "200 {\"outcome\":\"accepted\",\"revision\":4,\"evacuated\":[\"domain-1\"]}",
              "503 {\"outcome\":\"unanswered\",\"leader\":\"replica-2\"}"),
          replies);
    }

    /** Guards against orders of others than operators, and for domains that do not exist. */
    @Test
    void areRefusedWithoutEffect() {
      request("POST", FixedEvacuations.DOMAIN, "wrong");
      request("POST", "domain-9", "operator");
      evacuations.full = true;
      request("POST", FixedEvacuations.DOMAIN, "operator");
      assertEquals(
          List.of(RefusalReason.UNAUTHENTICATED, RefusalReason.MALFORMED, RefusalReason.RING_FULL),
          refused);
      assertEquals(List.of(), evacuations.orders);
      assertFalse(route.matches("GET", List.of("v1", "evacuations", "domain-1")));
    }
  }
}
