package dev.caroblb.configuration.codec;

import dev.caroblb.configuration.ConfigurationCommand.Accept;
import dev.caroblb.configuration.ConfigurationCommand.CheckedFile;
import dev.caroblb.configuration.ConfigurationCounters;
import dev.caroblb.configuration.ConfigurationHandler;
import dev.caroblb.configuration.ConfigurationMessage;
import dev.caroblb.configuration.ConfigurationOutlets;
import dev.caroblb.configuration.ConfigurationState;
import dev.caroblb.configuration.EntryView;
import dev.caroblb.configuration.PeerMessage;
import dev.caroblb.configuration.Publish;
import dev.caroblb.configuration.PublishedFile;
import dev.caroblb.core.GroupId;
import dev.caroblb.core.InstanceId;
import dev.caroblb.core.LeaderLease;
import dev.caroblb.core.Payload;
import dev.caroblb.core.PeerEnvelope;
import dev.caroblb.core.ProposalOutcome;
import java.lang.management.ManagementFactory;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.List;
import java.util.Optional;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/**
 * Measures message sizes and CPU time of publishes and renewals, and memory per workspace. Its name
 * excludes it from the test run; run it with {@code -Dtest=ConfigurationCostMeasurement}.
 */
class ConfigurationCostMeasurement {
  private static final InstanceId LEADER = new InstanceId("r0");
  private static final InstanceId ENTRY = new InstanceId("e0");
  private static final int WORKSPACES_PER_FILE = 10;
  private static final int ROUNDS = 500;
  private static final long TERM_END_MS = Long.MAX_VALUE / 2;

  private final PeerMessageCodec codec = new PeerMessageCodec();
  private final Deque<Payload> toLeader = new ArrayDeque<>();
  private final Deque<Payload> toEntry = new ArrayDeque<>();
  private ConfigurationState state = ConfigurationState.empty();
  private EntryView view;
  private long bytes;
  private final ConfigurationStateMachine machine = new ConfigurationStateMachine(this::applied);
  private final ConfigurationHandler entry = handler(ENTRY, toLeader);
  private ConfigurationHandler leader = handler(LEADER, toEntry);

  private boolean applied(ConfigurationMessage message) {
    state = ((ConfigurationMessage.StateApplied) message).state();
    return true;
  }

  private ConfigurationHandler handler(InstanceId self, Deque<Payload> out) {
    ConfigurationOutlets outlets =
        new ConfigurationOutlets(
            message -> send(out, message),
            next -> {
              view = self.equals(ENTRY) ? next : view;
              return true;
            },
            message -> {
              leader.handle(message, 0);
              return true;
            });
    return new ConfigurationHandler(
        self,
        "p",
        List.of(LEADER),
        outlets,
        new GroupCommandProposer(
            (group, command, reply) ->
                reply.offer(new ProposalOutcome.Applied(machine.apply(command)))),
        new ConfigurationCounters());
  }

  private boolean send(Deque<Payload> out, PeerEnvelope<PeerMessage> message) {
    Payload payload = codec.encode(message.message());
    bytes += payload.size();
    return out.add(payload);
  }

  private void exchange(long nowMs) {
    while (!toLeader.isEmpty() || !toEntry.isEmpty()) {
      while (!toLeader.isEmpty()) {
        PeerMessage message = codec.decode(toLeader.poll()).orElseThrow();
        leader.handle(new ConfigurationMessage.PeerReceived(ENTRY, message), nowMs);
      }
      while (!toEntry.isEmpty()) {
        PeerMessage message = codec.decode(toEntry.poll()).orElseThrow();
        entry.handle(new ConfigurationMessage.PeerReceived(LEADER, message), nowMs);
      }
    }
  }

  private static CheckedFile file(int index, int version) {
    StringBuilder text = new StringBuilder("team = \"team" + index + "\"\n");
    List<String> names = new ArrayList<>();
    for (int i = 0; i < WORKSPACES_PER_FILE; i++) {
      String name = "workspace-" + index + "-" + i;
      names.add(name);
      text.append("[[workspaces]]\nname = \"" + name + "\"\ntoken_sha256 = \"")
          .append(String.format("%064x", index * 100L + i))
          .append("\"\nshare = " + (1 + version % 100) + "\nmax_concurrent = 100\n");
    }
    text.append("[[models]]\nname = \"model" + index % 15 + "\"\nreplicas = 2\n");
    for (String call : List.of("reading", "check", "posting")) {
      text.append("[calls." + call + "]\nmodel = \"model" + index % 15 + "\"\nstreams = true\n")
          .append("priority = 5\ndeadline_ms = 60000\nrepeatable = true\nclass = \"long\"\n");
    }
    return new CheckedFile("team" + index + ".toml", text.toString(), "team" + index, names);
  }

  private long accept(long number, List<CheckedFile> files) {
    Payload command = new CommandCodec().encode(new Accept(number, "q", "d" + number, files));
    Payload unused = machine.apply(command);
    return command.size();
  }

  private static long cpuNanos() {
    return ManagementFactory.getThreadMXBean().getThreadCpuTime(Thread.currentThread().getId());
  }

  private static long heapBytes() {
    for (int i = 0; i < 4; i++) {
      System.gc();
    }
    return Runtime.getRuntime().totalMemory() - Runtime.getRuntime().freeMemory();
  }

  @ParameterizedTest
  @ValueSource(ints = {10, 1_000, 22_000})
  void measure(int workspaces) {
    int files = workspaces / WORKSPACES_PER_FILE;
    long emptyHeap = heapBytes();
    long number = 0;
    for (int i = 0; i < files; i++) {
      number++;
      accept(number, List.of(file(i, 0)));
    }
    long stateHeap = heapBytes();
    leader.handle(
        new ConfigurationMessage.LeaseChanged(
            new LeaderLease(GroupId.CONTROL, 1, Optional.of(LEADER), true, TERM_END_MS)),
        0);
    leader.handle(new ConfigurationMessage.StateApplied(state), 0);
    leader.tick(0);
    long beforeEntry = heapBytes();
    long start = cpuNanos();
    entry.tick(0);
    exchange(0);
    long installCpu = cpuNanos() - start;
    long installBytes = bytes;
    long entryHeap = heapBytes();
    print("state_heap_bytes_per_workspace", (stateHeap - emptyHeap) / workspaces);
    print("entry_heap_bytes_per_workspace", (entryHeap - beforeEntry) / workspaces);
    print("snapshot_bytes", machine.snapshot().size());
    print("first_install_cpu_us", installCpu / 1_000);
    print("first_install_bytes", installBytes);
    renewals(workspaces);
    publishes(number);
    print("view_number", view.snapshot().number());
  }

  private void renewals(int workspaces) {
    bytes = 0;
    long start = cpuNanos();
    for (int i = 1; i <= ROUNDS; i++) {
      entry.tick(i * 1_000L);
      exchange(i * 1_000L);
    }
    print("workspaces", workspaces);
    print("renewal_cpu_us", (cpuNanos() - start) / 1_000 / ROUNDS);
    print("renewal_bytes", bytes / ROUNDS);
  }

  private void publishes(long lastNumber) {
    bytes = 0;
    long forwardBytes = 0;
    long acceptCpu = 0;
    long installCpu = 0;
    long commandBytes = 0;
    for (int i = 1; i <= ROUNDS; i++) {
      long nowMs = (ROUNDS + i) * 1_000L;
      CheckedFile changed = file(0, i);
      Publish publish =
          new Publish(
              lastNumber + i, "q", List.of(new PublishedFile(changed.name(), changed.text())));
      commandBytes =
          new CommandCodec().encode(new Accept(1, "q", "d".repeat(64), List.of(changed))).size();
      PeerMessage.PublishForward forward = new PeerMessage.PublishForward("p", i, publish);
      forwardBytes = codec.encode(forward).size();
      long start = cpuNanos();
      leader.handle(new ConfigurationMessage.PeerReceived(ENTRY, forward), nowMs);
      long accepted = cpuNanos();
      leader.handle(new ConfigurationMessage.StateApplied(state), nowMs);
      long applied = cpuNanos();
      entry.tick(nowMs);
      exchange(nowMs);
      acceptCpu += accepted - start;
      installCpu += cpuNanos() - applied;
    }
    print("publish_leader_accept_cpu_us", acceptCpu / 1_000 / ROUNDS);
    print("publish_entry_install_cpu_us", installCpu / 1_000 / ROUNDS);
    print("publish_forward_bytes", forwardBytes);
    print("publish_command_bytes", commandBytes);
    print("publish_bytes_per_entry", bytes / ROUNDS);
  }

  private static void print(String name, long value) {
    System.out.println("cost " + name + "=" + value);
  }
}
