package dev.caroblb.forwarding;

import dev.caroblb.forwarding.quarantine.PromptPart;
import dev.caroblb.forwarding.quarantine.RequestFingerprint;
import java.util.List;
import java.util.Optional;

/**
 * The parts of a caller's request on which forwarding decisions depend.
 *
 * @param id sequence number of the request at this instance
 * @param requestId request ID chosen by the caller
 * @param host value of the Host header
 * @param path path without the query
 * @param timeoutMs timeout in milliseconds requested by the caller
 * @param key API key of the caller's workspace
 * @param generationSize size of the prompt and of the output, for a generation
 * @param sharedPromptParts parts of the prompt that other requests may share, in order; then the
 *     fingerprint of the request, which it shares with its repetitions
 * @param port receives the response
 * @param bodyBytes size of the body of the request
 * @param takeUp the stream that the caller takes up, if it does
 */
public record ForwardCall(
    long id,
    String requestId,
    String host,
    String path,
    Optional<Long> timeoutMs,
    Optional<String> key,
    Optional<GenerationSize> generationSize,
    List<PromptPart> sharedPromptParts,
    CallerPort port,
    long bodyBytes,
    Optional<StreamTakeUp> takeUp) {
  public ForwardCall {
    sharedPromptParts = List.copyOf(sharedPromptParts);
  }

  /** Fingerprint of the request, if it has one that fits into messages. */
  Optional<String> fingerprint() {
    return sharedPromptParts.isEmpty()
        ? Optional.empty()
        : RequestFingerprint.idOf(sharedPromptParts.get(sharedPromptParts.size() - 1));
  }

  /** A request without a body for a new stream or response. */
  public ForwardCall(
      long id,
      String requestId,
      String host,
      String path,
      Optional<Long> timeoutMs,
      Optional<String> key,
      Optional<GenerationSize> generationSize,
      List<PromptPart> sharedPromptParts,
      CallerPort port) {
    this(
        id,
        requestId,
        host,
        path,
        timeoutMs,
        key,
        generationSize,
        sharedPromptParts,
        port,
        0,
        Optional.empty());
  }
}
