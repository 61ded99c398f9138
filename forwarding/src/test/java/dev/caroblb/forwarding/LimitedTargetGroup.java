package dev.caroblb.forwarding;

import dev.caroblb.core.Payload;
import dev.caroblb.core.TargetId;
import dev.caroblb.pacing.AnnouncedWarmUp;
import dev.caroblb.routing.WarmUp;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.TreeMap;

/** Instances with targets that name request limits in their responses. */
final class LimitedTargetGroup extends InstanceGroup {
  private static final long HEARTBEAT_MS = 1_200;
  private static final long RESPONSE_MS = 30;
  private static final long WINDOW_MS = 4_000;
  private static final double WINDOW_SECONDS = 4;

  /** Time after the first statement of a limit from which it must be kept. */
  private static final long CONTACT_MS = 3_000;

  private static final double MAX_FACTOR = 1.5;
  private static final int MAX_EXTRA = 5;

  private final Map<TargetId, Long> running = new TreeMap<>((a, b) -> a.name().compareTo(b.name()));
  private final Map<TargetId, Double> limits = new HashMap<>();
  private long sequence;
  private final Map<TargetId, Long> coldUntilMs = new HashMap<>();
  private final Map<TargetId, List<Long>> arrivals = new HashMap<>();

  LimitedTargetGroup(int controls, int entries, int targets) {
    this(controls, entries, targets, Optional.empty());
  }

  /** Creates a group whose targets need a warm-up. */
  LimitedTargetGroup(int controls, int entries, int targets, Optional<WarmUp> warmUp) {
    super(controls, entries, ForwardingFixture.table(warmUp));
    for (int i = 0; i < targets; i++) {
      running.put(target(i), 1L);
      arrivals.put(target(i), new ArrayList<>());
      sendHeartbeats(target(i));
    }
  }

  static TargetId target(int index) {
    return new TargetId("t" + index);
  }

  private void sendHeartbeats(TargetId target) {
    announceNow(target);
    in(HEARTBEAT_MS, () -> sendHeartbeats(target));
  }

  private void announceNow(TargetId target) {
    AnnouncedWarmUp warmUp = new AnnouncedWarmUp(warmUpLeftMs(target), 0, ++sequence);
    announce(target, running.get(target), warmUp);
  }

  private long warmUpLeftMs(TargetId target) {
    return Math.max(0, coldUntilMs.getOrDefault(target, 0L) - nowMs);
  }

  /** Lets a target be cold for some time; all instances hear of it at once. */
  void turnCold(int target, long forMs) {
    coldUntilMs.put(target(target), nowMs + forMs);
    announceNow(target(target));
  }

  /** Lets a target be cold for some time, which only its responses and heartbeats tell. */
  void turnColdUnannounced(int target, long forMs) {
    coldUntilMs.put(target(target), nowMs + forMs);
  }

  /** Starts a new run of a target, which is cold for some time. */
  void restartTarget(int target, long coldForMs) {
    running.merge(target(target), 1L, Long::sum);
    turnCold(target, coldForMs);
  }

  /** Lets an older announcement of a warm target arrive. */
  void announceLate(int target, long ageMs) {
    announce(target(target), running.get(target(target)), new AnnouncedWarmUp(0, ageMs, 1));
  }

  /** The most requests that a target got in one second between two times. */
  long mostInOneSecond(int target, long fromMs, long toMs) {
    List<Long> times =
        arrivals.get(target(target)).stream().filter(ms -> ms >= fromMs && ms < toMs).toList();
    return times.stream()
        .mapToLong(start -> times.stream().filter(ms -> ms >= start && ms < start + 1_000).count())
        .max()
        .orElse(0);
  }

  @Override
  Map<TargetId, Long> runningTargets() {
    return running;
  }

  /** Lets a target name a limit from now on. */
  void limit(int target, double perSecond) {
    limits.put(target(target), perSecond);
  }

  void endLimit(int target) {
    limits.remove(target(target));
  }

  @Override
  void started(Instance from, AttemptOrder order) {
    TargetId target = order.target().id();
    arrivals.get(target).add(nowMs);
    in(RESPONSE_MS, () -> respond(from, order, Optional.ofNullable(limits.get(target))));
  }

  private void respond(Instance to, AttemptOrder order, Optional<Double> limit) {
    long call = order.call().id();
    long leftMs = warmUpLeftMs(order.target().id());
    TargetNotice notice =
        new TargetNotice(false, Optional.empty(), limit, Optional.of(leftMs).filter(ms -> ms > 0));
    ResponseHead head = new ResponseHead(200, false, true, false, notice, new ResponseFields() {});
    to.handle(new ForwardingMessage.Head(call, order.attempt(), head));
    to.handle(new ForwardingMessage.Body(call, order.attempt(), Payload.ofText("x")));
    to.handle(new ForwardingMessage.Ended(call, order.attempt()));
  }

  /** Lets a plain request arrive at an entry. */
  RecordingCaller arrive(int entry) {
    long number = nextCall();
    return arrive(
        entry,
        new ForwardCall(
            number,
            "id-" + number,
            "host",
            "/safe/x",
            Optional.of(2_500L),
            Optional.of("key"),
            Optional.empty(),
            List.of(),
            new RecordingCaller()));
  }

  /** Number of requests that a target got since a time. */
  long received(int target, long fromMs) {
    return arrivals.get(target(target)).stream().filter(ms -> ms >= fromMs).count();
  }

  /** The most requests that a target got within four seconds, from the contact time on. */
  long mostInWindow(int target, long namedMs) {
    List<Long> times = arrivals.get(target(target));
    long most = 0;
    for (long start : times) {
      if (start >= namedMs + CONTACT_MS) {
        most =
            Math.max(
                most, times.stream().filter(ms -> ms >= start && ms < start + WINDOW_MS).count());
      }
    }
    return most;
  }

  /** The most requests that a limit allows within four seconds. */
  static double allowed(double perSecond) {
    return MAX_FACTOR * WINDOW_SECONDS * perSecond + MAX_EXTRA;
  }
}
