package dev.caroblb.soak;

import dev.caroblb.systemtests.TestCluster;
import java.util.concurrent.TimeUnit;

/** The faults that a {@link FaultPlan} draws from. */
final class Faults {
  private static final long STOP_TIMEOUT_MS = 20_000;

  private Faults() {}

  /** Kills an instance without a shutdown and later starts it again. */
  record Kill(TestCluster cluster, String instance) implements Fault {
    @Override
    public String describe() {
      return "kill " + instance;
    }

    @Override
    public void inject() throws Exception {
      cluster.instance(instance).kill();
    }

    @Override
    public void heal() throws Exception {
      cluster.start(instance);
    }
  }

  /**
   * Asks an instance to shut down. When the fault ends, an instance that does not exit in time is
   * killed, and the instance is started again.
   */
  record Stop(TestCluster cluster, String instance) implements Fault {
    @Override
    public String describe() {
      return "stop " + instance;
    }

    @Override
    public void inject() {
      cluster.instance(instance).terminate();
    }

    @Override
    public void heal() throws Exception {
      cluster.instance(instance).awaitExit(STOP_TIMEOUT_MS);
      cluster.instance(instance).kill();
      cluster.start(instance);
    }
  }

  /** Suspends an instance with SIGSTOP, which the process cannot observe. */
  record Freeze(TestCluster cluster, String instance) implements Fault {
    @Override
    public String describe() {
      return "freeze " + instance;
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
      return "links_" + mode.name().toLowerCase(java.util.Locale.ROOT) + " " + instance;
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
  record KillAll(TestCluster cluster) implements Fault {
    @Override
    public String describe() {
      return "kill_all";
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
      cluster.startAll();
    }
  }
}
