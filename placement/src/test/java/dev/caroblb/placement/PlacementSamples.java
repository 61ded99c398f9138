package dev.caroblb.placement;

import dev.caroblb.core.FailureDomain;
import dev.caroblb.core.TargetId;
import dev.caroblb.core.WorkspaceId;
import java.util.List;
import java.util.Optional;

/** Sample views and requests for the placement tests. */
final class PlacementSamples {
  static final String MODEL = "reader";

  private PlacementSamples() {}

  static TargetView view(int number, long incarnation, TargetState state, LoadReport load) {
    return new TargetView(
        new TargetId("engine-" + number),
        incarnation,
        new FailureDomain("domain-" + number % 3),
        "127.0.0.1:" + (7_000 + number),
        List.of(MODEL),
        state,
        Optional.ofNullable(load));
  }

  static TargetView available(int number, int running, int usedBlocks) {
    return view(
        number, 1, TargetState.AVAILABLE, new LoadReport(running, 0, usedBlocks, 1_000, 0, 0));
  }

  static PlacementRequest request(long call, int promptTokens, long prefix) {
    return new PlacementRequest(
        call,
        MODEL,
        "reading",
        new WorkspaceId("ws"),
        5,
        new PromptShape(promptTokens, prefix, prefix == 0 ? 0 : promptTokens),
        60_000,
        60_000,
        0,
        Optional.empty());
  }
}
