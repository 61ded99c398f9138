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

/** An Alloy specification read from the class path, whose commands run in this JVM. */
public final class AlloySpecification {
  private final CompModule module;

  private AlloySpecification(CompModule module) {
    this.module = module;
  }

  /** Reads a resource beside {@code owner}. */
  public static AlloySpecification load(Class<?> owner, String resource) throws IOException {
    try (InputStream in = owner.getResourceAsStream(resource)) {
      if (in == null) {
        throw new IOException("specification " + resource + " is not beside " + owner.getName());
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
    Command command = find(label);
    A4Options options = new A4Options();
    options.solver = SATFactory.find("sat4j").orElseThrow();
    SizeReporter sizes = new SizeReporter();
    A4Solution solution =
        TranslateAlloyToKodkod.execute_command(
            sizes, module.getAllReachableSigs(), command, options);
    Optional<String> instance =
        solution.satisfiable() ? Optional.of(solution.toString()) : Optional.empty();
    System.out.println(
        "alloy command=" + label + " instance=" + instance.isPresent() + " " + sizes.text());
    return new Outcome(instance);
  }

  private Command find(String label) {
    for (Command command : module.getAllCommands()) {
      if (command.label.equals(label)) {
        return command;
      }
    }
    throw new IllegalArgumentException("the specification has no command " + label);
  }

  /** Result of one command. */
  public record Outcome(Optional<String> instance) {
    /** Whether the checker found an instance, for a check command a counterexample. */
    public boolean found() {
      return instance.isPresent();
    }
  }

  private static final class SizeReporter extends A4Reporter {
    private String text = "";

    @Override
    public void solve(int step, int primaryVars, int totalVars, int clauses) {
      text = "variables=" + totalVars + " clauses=" + clauses;
    }

    String text() {
      return text;
    }
  }
}
