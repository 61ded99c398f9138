package dev.caroblb.forwarding;

import dev.caroblb.core.Payload;
import dev.caroblb.core.Refusal;
import java.util.ArrayList;
import java.util.List;

/** Records the calls of the caller port. */
final class RecordingCaller implements CallerPort {
  final List<String> events = new ArrayList<>();
  final List<Refusal> refusals = new ArrayList<>();
  boolean full;

  @Override
  public void refuse(Refusal refusal) {
    events.add("refused " + refusal.reason());
    refusals.add(refusal);
  }

  @Override
  public void respond(ResponseHead head, Payload body) {
    events.add("answer " + head.status() + " " + body.text());
  }

  @Override
  public void begin(ResponseHead head) {
    events.add("begin " + head.status());
  }

  @Override
  public boolean write(Payload part) {
    if (full) {
      return false;
    }
    record(part);
    return true;
  }

  private void record(Payload part) {
    events.add("part " + part.text().replace("\n", "|"));
  }

  @Override
  public void complete(List<Payload> lastParts) {
    lastParts.forEach(this::record);
    events.add("complete");
  }

  @Override
  public void abort() {
    events.add("abort");
  }
}
