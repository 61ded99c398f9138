package dev.caroblb.soak;

import dev.caroblb.systemtests.TestCluster;
import java.util.concurrent.TimeUnit;

/** The kinds of fault. */
final class Faults {
  private static final long STOP_MS = 20_000;

  private Faults() {}

  /** The process ends at once and is started again. */
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

  /** The process is asked to end, has time to do so, and is started again. */
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
      cluster.instance(instance).awaitExit(STOP_MS);
      cluster.instance(instance).kill();
      cluster.start(instance);
    }
  }

  /** The process does not run for a while and notices nothing of it. */
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

  /** The process ends, and its disk is empty when it starts again. */
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

  /** The links between one instance and all others do not pass bytes as they should. */
  record BadLinks(Links links, String instance, LinkMode mode) implements Fault {
    @Override
    public String describe() {
      return "links_" + mode.name().toLowerCase(java.util.Locale.ROOT) + " " + instance;
    }

    @Override
    public void inject() {
      links.set(instance, mode);
    }

    @Override
    public void heal() {
      links.set(instance, LinkMode.PASS);
    }
  }

  /** A target does not run for a while. */
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

  /** All instances end at once and are started again. */
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
