package dev.caroblb.standins.engine;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.OptionalLong;
import java.util.TreeSet;
import java.util.function.Consumer;

/**
 * Model of an engine with continuous batching and block-based KV memory. Each step admits waiting
 * generations while their prompts fit, prefills a chunk of prompt tokens and decodes one token for
 * every generation whose prefill is done. A generation that needs a block when none is free
 * preempts the running one of lowest priority, and of the latest arrival among equals. The
 * preempted generation waits and recomputes its prompt and its tokens.
 */
public final class BatchingEngine implements EngineModel {
  private final EngineSettings settings;
  private final PrefixCache cache;
  private final Map<Long, Sequence> sequences = new HashMap<>();
  private final TreeSet<Sequence> waiting = new TreeSet<>(Sequence::compareForAdmission);
  private final List<Sequence> running = new ArrayList<>();
  private final List<EngineEvent> events = new ArrayList<>();
  private int freeBlocks;
  private int prefillTokensInStep;
  private long stepEndsAtUs = -1;
  private long preemptions;
  private long submitted;

  public BatchingEngine(EngineSettings settings) {
    this.settings = settings;
    this.cache = new PrefixCache(settings.cacheTokens());
    this.freeBlocks = settings.totalBlocks();
  }

  @Override
  public boolean submit(long generation, EngineRequest request, long nowUs) {
    Sequence sequence = new Sequence(generation, request, submitted++);
    if (sequences.putIfAbsent(generation, sequence) != null) {
      return false;
    }
    waiting.add(sequence);
    if (stepEndsAtUs < 0) {
      startStep(nowUs);
    }
    return true;
  }

  @Override
  public OptionalLong nextStepEndUs() {
    return stepEndsAtUs < 0 ? OptionalLong.empty() : OptionalLong.of(stepEndsAtUs);
  }

  @Override
  public void step(long nowUs) {
    if (stepEndsAtUs < 0 || nowUs < stepEndsAtUs) {
      return;
    }
    finishPrefill();
    decode();
    startStep(stepEndsAtUs);
  }

  private void startStep(long nowUs) {
    admit();
    if (running.isEmpty()) {
      stepEndsAtUs = -1;
      return;
    }
    int decodingSequences = 0;
    long contextTokens = 0;
    prefillTokensInStep = 0;
    for (Sequence sequence : running) {
      decodingSequences += sequence.remainingPrefillTokens == 0 ? 1 : 0;
      contextTokens += sequence.contextTokens();
      prefillTokensInStep += sequence.remainingPrefillTokens;
    }
    prefillTokensInStep = Math.min(prefillTokensInStep, settings.prefillChunk());
    stepEndsAtUs = nowUs + settings.stepUs(decodingSequences, contextTokens, prefillTokensInStep);
  }

  private void admit() {
    while (!waiting.isEmpty() && running.size() < settings.maxBatchSize()) {
      Sequence next = waiting.first();
      int needed = settings.blocksFor(next.contextTokens() + 1);
      int reserve = running.isEmpty() ? 0 : settings.watermarkBlocks();
      if (needed + reserve > freeBlocks) {
        return;
      }
      waiting.pollFirst();
      next.blocks = needed;
      freeBlocks -= needed;
      next.remainingPrefillTokens =
          Math.max(1, next.contextTokens() - cache.cachedTokens(next.request.prefix()));
      running.add(next);
    }
  }

  private void finishPrefill() {
    int budget = prefillTokensInStep;
    for (Sequence sequence : running) {
      if (budget == 0) {
        return;
      }
      if (sequence.remainingPrefillTokens > 0) {
        int part = Math.min(budget, sequence.remainingPrefillTokens);
        budget -= part;
        sequence.remainingPrefillTokens -= part;
        if (sequence.remainingPrefillTokens == 0) {
          cache.store(sequence.request.prefix(), sequence.request.prefixTokens(), events::add);
        }
      }
    }
  }

  private void decode() {
    for (Sequence sequence : new ArrayList<>(running)) {
      // A sequence that was preempted earlier in this step has no blocks and must not decode.
      if (sequence.remainingPrefillTokens > 0
          || sequence.blocks == 0
          || !reserveNextToken(sequence)) {
        continue;
      }
      sequence.generatedTokens++;
      events.add(new EngineEvent.Token(sequence.generation, sequence.generatedTokens));
      if (sequence.generatedTokens >= sequence.request.outputTokens()) {
        events.add(new EngineEvent.Done(sequence.generation, sequence.generatedTokens));
        running.remove(sequence);
        releaseBlocks(sequence);
        sequences.remove(sequence.generation);
      }
    }
  }

  /**
   * Reserves memory for one more token, by preemption if needed; false when the sequence itself was
   * preempted or ended.
   */
  private boolean reserveNextToken(Sequence sequence) {
    if (settings.blocksFor(sequence.contextTokens() + 1) <= sequence.blocks) {
      return true;
    }
    while (freeBlocks == 0) {
      Sequence victim = selectVictim();
      if (victim == sequence && running.size() == 1) {
        // It runs alone and still does not fit into memory, so it can only be ended.
        endUnfinished(sequence);
        return false;
      }
      preempt(victim);
      if (victim == sequence) {
        return false;
      }
    }
    freeBlocks--;
    sequence.blocks++;
    return true;
  }

  private Sequence selectVictim() {
    Sequence victim = running.get(0);
    for (Sequence candidate : running) {
      victim = Sequence.compareForAdmission(candidate, victim) > 0 ? candidate : victim;
    }
    return victim;
  }

  private void preempt(Sequence victim) {
    running.remove(victim);
    releaseBlocks(victim);
    victim.preemptions++;
    preemptions++;
    waiting.add(victim);
    events.add(new EngineEvent.Preempted(victim.generation));
  }

  private void endUnfinished(Sequence sequence) {
    events.add(new EngineEvent.Done(sequence.generation, sequence.generatedTokens));
    running.remove(sequence);
    releaseBlocks(sequence);
    sequences.remove(sequence.generation);
  }

  private void releaseBlocks(Sequence sequence) {
    freeBlocks += sequence.blocks;
    sequence.blocks = 0;
  }

  @Override
  public boolean cancel(long generation) {
    Sequence sequence = sequences.remove(generation);
    if (sequence == null) {
      return false;
    }
    if (!waiting.remove(sequence)) {
      running.remove(sequence);
      releaseBlocks(sequence);
    }
    return true;
  }

  @Override
  public boolean resume(long generation, int after) {
    Sequence sequence = sequences.get(generation);
    if (sequence == null) {
      return false;
    }
    for (int token = after + 1; token <= sequence.generatedTokens; token++) {
      events.add(new EngineEvent.Token(generation, token));
    }
    return true;
  }

  @Override
  public void drainEvents(Consumer<EngineEvent> consumer) {
    events.forEach(consumer);
    events.clear();
  }

  @Override
  public EngineLoad load(long nowUs) {
    return new EngineLoad(
        running.size(),
        waiting.size(),
        settings.totalBlocks() - freeBlocks,
        settings.totalBlocks(),
        preemptions,
        nowUs);
  }
}
