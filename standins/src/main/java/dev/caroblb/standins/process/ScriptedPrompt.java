package dev.caroblb.standins.process;

import java.util.regex.Matcher;
import java.util.regex.Pattern;

/**
 * Instructions to the stand-in inside a prompt: {@code tokens=N} and {@code interval_ms=M},
 * anywhere in its text.
 *
 * @param tokens number of tokens to generate
 * @param intervalMs time between tokens
 */
record ScriptedPrompt(int tokens, long intervalMs) {
  private static final Pattern TOKENS = Pattern.compile("tokens=(\\d{1,6})");
  private static final Pattern INTERVAL = Pattern.compile("interval_ms=(\\d{1,6})");
  private static final int DEFAULT_TOKENS = 8;
  private static final int DEFAULT_INTERVAL_MS = 5;

  static ScriptedPrompt parse(String prompt) {
    return new ScriptedPrompt(
        number(TOKENS, prompt, DEFAULT_TOKENS), number(INTERVAL, prompt, DEFAULT_INTERVAL_MS));
  }

  private static int number(Pattern pattern, String prompt, int defaultValue) {
    Matcher matcher = pattern.matcher(prompt);
    return matcher.find() ? Integer.parseInt(matcher.group(1)) : defaultValue;
  }
}
