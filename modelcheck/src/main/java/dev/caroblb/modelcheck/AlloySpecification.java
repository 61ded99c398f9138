package dev.caroblb.modelcheck;

import edu.mit.csail.sdg.alloy4.A4Reporter;
import edu.mit.csail.sdg.ast.Command;
import edu.mit.csail.sdg.parser.CompModule;
import edu.mit.csail.sdg.parser.CompUtil;
import edu.mit.csail.sdg.translator.A4Options;
import edu.mit.csail.sdg.translator.A4Solution;
import edu.mit.csail.sdg.translator.TranslateAlloyToKodkod;
import java.io.IOException;
import java.io.InputStream;
import java.nio.charset.StandardCharsets;
import java.util.Optional;
import kodkod.engine.satlab.SATFactory;

/** An Alloy specification from the class path. Its commands run in this JVM. */
public final class AlloySpecification {
  private final CompModule module;

  private AlloySpecification(CompModule module) {
    this.module = module;
  }

  /** Loads a specification from a resource in the package of {@code owner}. */
  public static AlloySpecification load(Class<?> owner, String resource) throws IOException {
    try (InputStream in = owner.getResourceAsStream(resource)) {
      if (in == null) {
        throw new IOException(
            "specification " + resource + " not found in the package of " + owner.getName());
      }
      String text = new String(in.readAllBytes(), StandardCharsets.UTF_8);
      return new AlloySpecification(CompUtil.parseEverything_fromString(A4Reporter.NOP, text));
    }
  }

  /**
   * Runs the command with the given label. A {@code check} command is satisfiable exactly when it
   * has a counterexample.
   */
  public Outcome run(String label) {
    Command command = findCommand(label);
    A4Options options = new A4Options();
    options.solver = SATFactory.find("sat4j").orElseThrow();
    SizeReporter sizes = new SizeReporter();
    A4Solution solution =
        TranslateAlloyToKodkod.execute_command(
            sizes, module.getAllReachableSigs(), command, options);
    Optional<String> instance =
        solution.satisfiable() ? Optional.of(solution.toString()) : Optional.empty();
    System.out.println(
        "alloy command=" + label + " instance=" + instance.isPresent() + " " + sizes.summary());
    return new Outcome(instance);
  }

  private Command findCommand(String label) {
    for (Command command : module.getAllCommands()) {
      if (command.label.equals(label)) {
        return command;
      }
    }
    throw new IllegalArgumentException("specification has no command " + label);
  }

  /**
   * Result of one command.
   *
   * @param instance the instance that satisfies the command, as text; empty if there is none
   */
  public record Outcome(Optional<String> instance) {
    /** Whether an instance was found; for a {@code check} command, it is a counterexample. */
    public boolean found() {
      return instance.isPresent();
    }
  }

  private static final class SizeReporter extends A4Reporter {
    private String summary = "";

    @Override
    public void solve(int step, int primaryVars, int totalVars, int clauses) {
      summary = "variables=" + totalVars + " clauses=" + clauses;
    }

    String summary() {
      return summary;
    }
  }
}
