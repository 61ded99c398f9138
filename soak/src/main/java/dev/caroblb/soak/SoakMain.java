package dev.caroblb.soak;

import com.beust.jcommander.JCommander;
import com.beust.jcommander.Parameter;

/** Runs the soak test for consecutive seeds; exits with 1 if a run violated a guarantee. */
public final class SoakMain {
  private static final long MS_PER_S = 1_000;

  @Parameter(
      names = "--first-seed",
      description = "seed of the first run; 0 takes the current time")
  private long firstSeed;

  @Parameter(names = "--runs", description = "number of runs, with consecutive seeds")
  private int runs = 1;

  @Parameter(names = "--seconds", description = "time in seconds during which faults are started")
  private long seconds = 30;

  @Parameter(
      names = "--instances",
      description = "number of instances; three of them are replicas with a disk")
  private int instances = 5;

  @Parameter(names = "--callers", description = "number of callers of each kind")
  private int callers = 3;

  @Parameter(names = "--planned-only", description = "only stop instances as planned")
  private boolean plannedOnly;

  @Parameter(names = "--help", help = true, description = "show this text")
  private boolean help;

  private SoakMain() {}

  public static void main(String[] args) throws Exception {
    SoakMain main = new SoakMain();
    JCommander commander = JCommander.newBuilder().addObject(main).programName("soak").build();
    commander.parse(args);
    if (main.help) {
      commander.usage();
      return;
    }
    System.exit(main.run() ? 0 : 1);
  }

  private boolean run() throws Exception {
    boolean passed = true;
    long first = firstSeed == 0 ? System.currentTimeMillis() : firstSeed;
    for (long seed = first; seed < first + runs; seed++) {
      SoakSettings settings =
          new SoakSettings(seed, seconds * MS_PER_S, instances, callers, plannedOnly);
      SoakReport report = new SoakRun(settings).run();
      System.out.println(report);
      if (!report.violations().isEmpty()) {
        passed = false;
        report.faults().forEach(System.out::println);
        report.violations().forEach(System.out::println);
      }
    }
    return passed;
  }
}
