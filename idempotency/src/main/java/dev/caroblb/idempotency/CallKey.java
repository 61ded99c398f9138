package dev.caroblb.idempotency;

import dev.caroblb.core.WorkspaceId;
import java.util.Optional;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

/**
 * Idempotency key of a call in the form {@code <unix ms>-<8 to 64 characters>}. Keys are scoped by
 * workspace.
 *
 * @param workspace workspace of the call; equal texts in two workspaces are different keys
 * @param text the key as the caller sent it
 */
public record CallKey(WorkspaceId workspace, String text) {
  public static final int MAX_LENGTH = 78;

  /** 13 digits of milliseconds suffice until the year 2286. */
  private static final Pattern FORM = Pattern.compile("([0-9]{1,13})-[A-Za-z0-9_.:-]{8,64}");

  public CallKey {
    if (!FORM.matcher(text).matches()) {
      throw new IllegalArgumentException(
          "idempotency key is malformed; send <unix ms>-<8 to 64 letters, digits or _.:->");
    }
  }

  /** Parses a key; empty if the text is malformed. */
  public static Optional<CallKey> parse(WorkspaceId workspace, String text) {
    return FORM.matcher(text).matches()
        ? Optional.of(new CallKey(workspace, text))
        : Optional.empty();
  }

  /** Creation time that the caller wrote into the key. */
  public long createdAtMs() {
    Matcher matcher = FORM.matcher(text);
    if (!matcher.matches()) {
      throw new IllegalStateException("the constructor accepts well-formed keys only");
    }
    return Long.parseLong(matcher.group(1));
  }
}
