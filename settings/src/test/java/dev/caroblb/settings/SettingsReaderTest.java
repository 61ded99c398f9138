package dev.caroblb.settings;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import dev.caroblb.core.InstanceId;
import dev.caroblb.settings.SettingsError.Kind;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.Comparator;
import java.util.List;
import java.util.Optional;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

class SettingsReaderTest {
  private static final String HASH = "ab".repeat(32);
  private static final String VALID =
      """
      cluster = "receipts"
      cluster_token = "0123456789abcdef"
      instance = "a1"
      domain = "d1"
      region = "kr-south"
      callers_address = "127.0.0.1:0"
      peers_address = "127.0.0.1:7101"
      data_folder = "data"
      operator_token_sha256 = "%s"
      target_token_sha256 = "%s"
      [[peers]]
      instance = "a1"
      domain = "d1"
      peers_address = "127.0.0.1:7101"
      callers_address = "127.0.0.1:0"
      replica = true
      [[peers]]
      instance = "a2"
      domain = "d2"
      peers_address = "[::1]:7102"
      callers_address = "127.0.0.1:7002"
      replica = false
      """
          .formatted(HASH, HASH);

  @TempDir private Path folder;

  private InstanceSettings accepted(String text) throws IOException {
    return SettingsReader.read(write(text)).getOrElseThrow(e -> new AssertionError(e.toString()));
  }

  private List<SettingsError> refused(String text) throws IOException {
    return SettingsReader.read(write(text)).getLeft();
  }

  private Path write(String text) throws IOException {
    return Files.writeString(folder.resolve("instance.toml"), text);
  }

  @Nested
  class WithRequiredKeysOnly {
    /** Guards against unintended changes of the documented defaults. */
    @Test
    void fillsDefaults() throws IOException {
      InstanceSettings settings = accepted(VALID);
      assertEquals(4, settings.keyGroups());
      assertEquals(new LimitSettings(1_000, 1_048_576, 16_384, 256, 30_000), settings.limits());
      assertEquals(new TimeSettings(600_000, 30_000, 5_000, 10_000), settings.times());
      assertEquals(System.Logger.Level.INFO, settings.logLevel());
      assertEquals(Optional.empty(), settings.portsFile());
    }

    /** Guards against listing the instance itself among its peers. */
    @Test
    void separatesSelfFromOthers() throws IOException {
      InstanceSettings settings = accepted(VALID);
      assertTrue(settings.replica());
      assertEquals(Optional.of(folder.resolve("data")), settings.dataFolder());
      assertEquals(
          List.of(new InstanceId("a2")),
          settings.otherPeers().stream().map(PeerSettings::instance).toList());
    }

    /** Guards against logging the cluster token. */
    @Test
    void hidesTheToken() throws IOException {
      assertFalse(accepted(VALID).toString().contains("0123456789abcdef"));
    }
  }

  @Nested
  class WithSeveralErrors {
    /** Guards against a reader that stops at the first error or reports a wrong line. */
    @Test
    void reportsAllWithLines() throws IOException {
      String text =
          VALID
              .replace("cluster = \"receipts\"", "clutser = \"receipts\"")
              .replace("\"0123456789abcdef\"", "\"short\"")
              .replace("\"127.0.0.1:7101\"\ndata", "\"localhost:7101\"\ndata")
              .concat("[limits]\nbacklog = 0\nmax_streams = \"many\"\n");
      List<SettingsError> errors = refused(text);
      assertEquals(
          List.of(
              "1 MISSING cluster",
              "1 UNKNOWN_KEY clutser",
              "2 NOT_ALLOWED cluster_token",
              "7 NOT_ALLOWED peers_address",
              "24 NOT_ALLOWED limits.backlog",
              "25 WRONG_TYPE limits.max_streams"),
          errors.stream()
              .map(e -> e.line() + " " + e.kind() + " " + e.key())
              .sorted(Comparator.comparingInt(s -> Integer.parseInt(s.split(" ", 2)[0])))
              .toList());
      assertFalse(errors.toString().contains("\"short\""));
    }

    /**
     * Guards against an error message without the file, the value, the allowed values or the
     * remedy.
     */
    @Test
    void messageIsComplete() throws IOException {
      String message = refused(VALID + "[limits]\nbacklog = 0\n").get(0).message();
      assertEquals(
          folder.resolve("instance.toml")
              + ":24: key \"limits.backlog\": found 0, allowed: an integer from 1 to 65535;"
              + " set an allowed value",
          message);
    }
  }

  @Nested
  class WithASyntaxError {
    /** Guards against follow-up errors for keys on lines that the parser skipped. */
    @Test
    void reportsItWithoutMissingKeys() throws IOException {
      List<SettingsError> errors = refused(VALID.replace("region = \"kr-south\"", "region = = 1"));
      assertEquals(Kind.SYNTAX, errors.get(0).kind());
      assertEquals(5, errors.get(0).line());
      assertTrue(errors.stream().noneMatch(error -> error.kind() == Kind.MISSING));
    }
  }

  @Nested
  class WithTextTheParserCannotProcess {
    /** Guards against a stack overflow in the parser that ends the process. */
    @Test
    void reportsIt() throws IOException {
      List<SettingsError> errors = refused("a = " + "[".repeat(200_000));
      assertFalse(errors.isEmpty());
    }
  }

  @Nested
  class WithContradictions {
    private void assertContradiction(String text, String key) throws IOException {
      List<SettingsError> errors = refused(text);
      assertEquals(1, errors.size(), errors.toString());
      assertEquals(Kind.CONTRADICTION, errors.get(0).kind());
      assertEquals(key, errors.get(0).key());
    }

    /** Guards against a replica that loses its votes on restart because it has no data folder. */
    @Test
    void replicaNeedsDataFolder() throws IOException {
      assertContradiction(VALID.replace("data_folder = \"data\"\n", ""), "data_folder");
    }

    /** Guards against a data folder that is set but not used. */
    @Test
    void otherInstanceHasNoDataFolder() throws IOException {
      assertContradiction(
          VALID
              .replace("replica = true", "replica = false")
              .replace("7002\"\nreplica = false", "7002\"\nreplica = true"),
          "data_folder");
    }

    /** Guards against an instance that the other instances do not know. */
    @Test
    void instanceMustBeListed() throws IOException {
      assertContradiction(VALID.replaceFirst("instance = \"a1\"", "instance = \"a9\""), "instance");
    }

    /** Guards against two instances with the same name. */
    @Test
    void namesAreUnique() throws IOException {
      assertContradiction(VALID.replace("\"a2\"", "\"a1\""), "peers.1.instance");
    }

    /** Guards against a peer without a port to connect to. */
    @Test
    void otherPeerNeedsAPort() throws IOException {
      assertContradiction(VALID.replace("[::1]:7102", "[::1]:0"), "peers.1.peers_address");
    }

    /** Guards against a peer address with which each instance would connect to itself. */
    @Test
    void peerAddressIsNoWildcard() throws IOException {
      assertContradiction(VALID.replace("[::1]:7102", "0.0.0.0:7102"), "peers.1.peers_address");
    }
  }

  @Nested
  class WithoutAFile {
    /** Guards against an exception instead of a reported error. */
    @Test
    void reportsIt() {
      List<SettingsError> errors = SettingsReader.read(folder.resolve("absent.toml")).getLeft();
      assertEquals(Kind.UNREADABLE, errors.get(0).kind());
    }
  }
}
