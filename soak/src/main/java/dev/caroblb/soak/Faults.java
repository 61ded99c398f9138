package dev.caroblb.soak;

import dev.caroblb.systemtests.TestCluster;
import java.util.List;
import java.util.Locale;
import java.util.concurrent.TimeUnit;

/** The faults that a {@link FaultPlan} draws from. */
final class Faults {
  private Faults() {}

  /** Kills an instance without a shutdown and later starts it again. */
  record Kill(TestCluster cluster, InstanceStops stops, String instance) implements Fault {
    @Override
    public String describe() {
      return "kill " + instance;
    }

    @Override
    public List<String> hitInstances() {
      return List.of(instance);
    }

    @Override
    public void inject() throws Exception {
      cluster.instance(instance).kill();
    }

    @Override
    public void heal() throws Exception {
      stops.startIfEnded(instance);
    }
  }

  /** Stops an instance as planned, which outlasts the fault, and starts it again. */
  record Stop(InstanceStops stops, String instance, InstanceStops.Signals signals, long gapMs)
      implements Fault {
    @Override
    public String describe() {
      return "stop_" + signals.name().toLowerCase(Locale.ROOT) + " " + instance;
    }

    @Override
    public void inject() {
      stops.begin(instance, signals, gapMs);
    }

    @Override
    public void heal() {}
  }

  /** Restarts all instances in turn, with less time between them than a stop takes. */
  record RestartInTurn(InstanceStops stops, long gapMs) implements Fault {
    @Override
    public String describe() {
      return "restart_in_turn";
    }

    @Override
    public void inject() {
      stops.beginInTurn(gapMs);
    }

    @Override
    public void heal() {}
  }

  /** Suspends an instance with SIGSTOP, which the process cannot observe. */
  record Freeze(TestCluster cluster, String instance) implements Fault {
    @Override
    public String describe() {
      return "freeze " + instance;
    }

    @Override
    public List<String> hitInstances() {
      return List.of(instance);
    }

    @Override
    public void inject() throws Exception {
      cluster.instance(instance).freeze();
    }

    @Override
    public void heal() throws Exception {
      cluster.instance(instance).resume();
    }
  }

  /** Kills an instance and deletes its data, so that it starts again with an empty disk. */
  record LoseDisk(TestCluster cluster, String instance) implements Fault {
    @Override
    public String describe() {
      return "lose_disk " + instance;
    }

    @Override
    public List<String> hitInstances() {
      return List.of(instance);
    }

    @Override
    public void inject() throws Exception {
      cluster.instance(instance).kill();
      cluster.deleteData(instance);
    }

    @Override
    public void heal() throws Exception {
      cluster.start(instance);
    }
  }

  /** Sets the given mode on the links between one instance and all others. */
  record LinkFault(LinkRelays relays, String instance, LinkMode mode) implements Fault {
    @Override
    public String describe() {
      return "links_" + mode.name().toLowerCase(Locale.ROOT) + " " + instance;
    }

    @Override
    public void inject() {
      relays.setMode(instance, mode);
    }

    @Override
    public void heal() {
      relays.setMode(instance, LinkMode.PASS);
    }
  }

  /** Suspends a target with SIGSTOP. */
  record FreezeTarget(TestCluster cluster, String target) implements Fault {
    @Override
    public String describe() {
      return "freeze_target " + target;
    }

    @Override
    public void inject() throws Exception {
      cluster.standin(target).freeze();
    }

    @Override
    public void heal() throws Exception {
      cluster.standin(target).resume();
    }
  }

  /** Kills all instances and later starts them again. */
  record KillAll(TestCluster cluster, InstanceStops stops) implements Fault {
    @Override
    public String describe() {
      return "kill_all";
    }

    @Override
    public List<String> hitInstances() {
      return cluster.names();
    }

    @Override
    public void inject() throws Exception {
      for (String instance : cluster.names()) {
        cluster.instance(instance).kill();
      }
      TimeUnit.MILLISECONDS.sleep(100);
    }

    @Override
    public void heal() throws Exception {
      for (String instance : cluster.names()) {
        stops.startIfEnded(instance);
      }
    }
  }
}
