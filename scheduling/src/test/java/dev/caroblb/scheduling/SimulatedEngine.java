package dev.caroblb.scheduling;

import dev.caroblb.targets.SpeedObservations;
import dev.caroblb.targets.TargetInfo;
import dev.caroblb.targets.TargetLoad;
import java.util.ArrayList;
import java.util.Iterator;
import java.util.List;

/** An engine that decodes all its requests in steps and reads one prompt chunk in each step. */
final class SimulatedEngine {
  private static final double STEP_MS = 7;
  private static final double REQUEST_MS = 0.12;
  private static final long CHUNK_TOKENS = 112;
  private static final double CHUNK_MS = CHUNK_TOKENS / 14.0;
  private static final int EVENT_TOKENS = 4;

  /** A running generation. */
  static final class Generation {
    private final double arrivedMs;
    private final double sentMs;
    private final long tokens;
    private final long promptAhead;
    private long promptLeft;
    private int outputLeft;
    private double lastEventMs;
    private double longestPauseMs;

    double firstEventAfterMs;

    Generation(double arrivedMs, double sentMs, long prompt, int output, long promptAhead) {
      this.arrivedMs = arrivedMs;
      this.sentMs = sentMs;
      this.tokens = prompt + output;
      this.promptAhead = promptAhead + prompt;
      promptLeft = prompt;
      outputLeft = output;
    }

    double longestPauseMs() {
      return longestPauseMs;
    }
  }

  private final TargetInfo info;
  private final List<Generation> running = new ArrayList<>();
  private double slowness;
  private double stepEndMs;

  SimulatedEngine(TargetInfo info, double slowness) {
    this.info = info;
    this.slowness = slowness;
  }

  TargetInfo info() {
    return info;
  }

  void setSlowness(double value) {
    slowness = value;
  }

  int running() {
    return running.size();
  }

  TargetLoad load() {
    long tokens = running.stream().mapToLong(g -> g.tokens).sum();
    return new TargetLoad(info.id(), info.incarnation(), running.size(), tokens, pendingPrefill());
  }

  private long pendingPrefill() {
    return running.stream().filter(g -> g.lastEventMs == 0).mapToLong(g -> g.promptLeft).sum();
  }

  void start(double arrivedMs, double nowMs, long prompt, int output) {
    running.add(new Generation(arrivedMs, nowMs, prompt, output, pendingPrefill()));
    stepEndMs = Math.max(stepEndMs, nowMs);
  }

  /** Runs the steps that end until a time; returns the generations that ended. */
  List<Generation> run(double untilMs, SpeedObservations observations, List<Double> pauses) {
    List<Generation> ended = new ArrayList<>();
    while (stepEndMs < untilMs && !running.isEmpty()) {
      Generation reading = running.stream().filter(g -> g.promptLeft > 0).findFirst().orElse(null);
      double chunkMs = reading == null ? 0 : CHUNK_MS;
      stepEndMs += slowness * (STEP_MS + REQUEST_MS * running.size() + chunkMs);
      for (Iterator<Generation> all = running.iterator(); all.hasNext(); ) {
        Generation generation = all.next();
        if (generation == reading) {
          generation.promptLeft = Math.max(0, generation.promptLeft - CHUNK_TOKENS);
        } else if (generation.promptLeft == 0 && --generation.outputLeft % EVENT_TOKENS == 0) {
          event(generation, observations, pauses);
        }
        if (generation.outputLeft == 0) {
          ended.add(generation);
          all.remove();
        }
      }
    }
    return ended;
  }

  private void event(Generation generation, SpeedObservations observations, List<Double> pauses) {
    if (generation.lastEventMs == 0) {
      generation.firstEventAfterMs = stepEndMs - generation.arrivedMs;
      observations.firstEvent(
          info.run(), generation.promptAhead, (long) (stepEndMs - generation.sentMs));
    } else {
      double pause = stepEndMs - generation.lastEventMs;
      generation.longestPauseMs = Math.max(generation.longestPauseMs, pause);
      pauses.add(pause);
      observations.pause(info.run(), running.size(), (long) pause);
    }
    generation.lastEventMs = stepEndMs;
  }
}
