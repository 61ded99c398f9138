package dev.caroblb.cli;

import java.net.ConnectException;
import java.net.http.HttpClient;
import java.net.http.HttpConnectTimeoutException;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.List;
import java.util.Optional;
import java.util.UUID;
import java.util.concurrent.CompletionException;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.ScheduledFuture;
import java.util.concurrent.Semaphore;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicLong;

/**
 * Open-loop load generator: starts calls at a fixed rate, whether or not earlier ones have ended,
 * and measures latency from the scheduled start of a call. A stalled system thus cannot hide its
 * delay by slowing down the generator (coordinated omission). Calls are not retried.
 */
final class LoadGenerator {
  private static final long NANOS_PER_SECOND = 1_000_000_000L;
  private static final long MIN_REFRESH_INTERVAL_MS = 100;

  private final HttpClient http = EntryClient.newHttpClient();
  private final LoadPlan plan;
  private final EntryClient client;
  private final LoadStatistics statistics = new LoadStatistics();
  private final Semaphore runningPermits;
  private final AtomicLong started = new AtomicLong();
  private volatile List<EntryAddress> entries;

  LoadGenerator(LoadPlan plan, List<EntryAddress> entries, EntryClient client) {
    this.plan = plan;
    this.entries = List.copyOf(entries);
    this.client = client;
    this.runningPermits = new Semaphore(plan.maxRunning());
  }

  LoadStatistics run() throws InterruptedException {
    ScheduledExecutorService callStarter = Executors.newSingleThreadScheduledExecutor();
    ExecutorService entryRefresher = Executors.newSingleThreadExecutor();
    try {
      entryRefresher.execute(this::refreshEntries);
      long periodNanos = (long) (NANOS_PER_SECOND / plan.ratePerSecond());
      long firstNanos = System.nanoTime();
      ScheduledFuture<?> starts =
          callStarter.scheduleAtFixedRate(
              () -> startNext(firstNanos, periodNanos), 0, periodNanos, TimeUnit.NANOSECONDS);
      TimeUnit.SECONDS.sleep(plan.seconds());
      if (!starts.cancel(false)) {
        throw new IllegalStateException("call starter stopped early after " + started + " calls");
      }
      callStarter.shutdown();
      // Calls that are still running after the drain time are counted as unfinished.
      boolean unused =
          callStarter.awaitTermination(1, TimeUnit.SECONDS)
              && runningPermits.tryAcquire(
                  plan.maxRunning(), plan.drainSeconds(), TimeUnit.SECONDS);
      return statistics;
    } finally {
      callStarter.shutdownNow();
      entryRefresher.shutdownNow();
    }
  }

  /** Refreshes the list of entries when its TTL has passed, as callers do. */
  private void refreshEntries() {
    try {
      while (true) {
        Optional<EntryList> list =
            EntryList.fetch(client, entries).filter(found -> !found.entries().isEmpty());
        if (list.isPresent()) {
          entries = list.get().entries().stream().map(EntryList.Entry::address).toList();
        }
        long addressTtlMs = list.map(EntryList::addressTtlMs).orElse(MIN_REFRESH_INTERVAL_MS);
        TimeUnit.MILLISECONDS.sleep(Math.max(MIN_REFRESH_INTERVAL_MS, addressTtlMs));
      }
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
    }
  }

  private void startNext(long firstNanos, long periodNanos) {
    long callNumber = started.getAndIncrement();
    statistics.countSent();
    if (!runningPermits.tryAcquire()) {
      statistics.countOutcome(new CallOutcome(CallOutcome.Kind.UNREACHABLE, "too_many_running"));
      return;
    }
    List<EntryAddress> currentEntries = entries;
    EntryAddress entry = currentEntries.get((int) (callNumber % currentEntries.size()));
    send(entry, firstNanos + callNumber * periodNanos);
  }

  private void send(EntryAddress entry, long scheduledNanos) {
    HttpRequest.Builder request =
        HttpRequest.newBuilder(entry.uri(plan.path()))
            .timeout(Duration.ofSeconds(plan.seconds() + plan.drainSeconds()))
            .header("Content-Type", "application/json")
            .POST(HttpRequest.BodyPublishers.ofString(plan.body()));
    plan.token().ifPresent(token -> request.header("Authorization", "Bearer " + token));
    plan.deadlineMs()
        .ifPresent(limit -> request.header("Caroblb-Deadline-Ms", Long.toString(limit)));
    if (plan.idempotencyKeys()) {
      request.header("Idempotency-Key", System.currentTimeMillis() + "-" + UUID.randomUUID());
    }
    var unused =
        http.sendAsync(request.build(), info -> bodySubscriber(info, scheduledNanos))
            .handle(
                (response, error) -> {
                  statistics.countOutcome(error == null ? response.body() : failureOutcome(error));
                  runningPermits.release();
                  return null;
                });
  }

  private HttpResponse.BodySubscriber<CallOutcome> bodySubscriber(
      HttpResponse.ResponseInfo info, long scheduledNanos) {
    String type = info.headers().firstValue("Content-Type").orElse("");
    if (type.startsWith("text/event-stream")) {
      return HttpResponse.BodySubscribers.fromLineSubscriber(
          new TokenSubscriber(statistics, scheduledNanos),
          TokenSubscriber::outcome,
          StandardCharsets.UTF_8,
          null);
    }
    return HttpResponse.BodySubscribers.mapping(
        HttpResponse.BodySubscribers.ofString(StandardCharsets.UTF_8),
        text -> {
          CallOutcome outcome =
              CallOutcome.fromResponse(new EntryResponse(info.statusCode(), text));
          if (outcome.equals(CallOutcome.COMPLETE)) {
            statistics.recordTimeToFirstToken(System.nanoTime() - scheduledNanos);
          }
          return outcome;
        });
  }

  private static CallOutcome failureOutcome(Throwable error) {
    Throwable cause = error instanceof CompletionException ? error.getCause() : error;
    boolean unreachable =
        cause instanceof ConnectException || cause instanceof HttpConnectTimeoutException;
    return new CallOutcome(
        unreachable ? CallOutcome.Kind.UNREACHABLE : CallOutcome.Kind.LOST,
        cause.getClass().getSimpleName());
  }
}
