package dev.caroblb.agreement.journal;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import dev.caroblb.agreement.RecoveredGroup;
import dev.caroblb.core.GroupId;
import dev.caroblb.core.Payload;
import io.vavr.control.Either;
import java.io.IOException;
import java.io.UncheckedIOException;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.logging.Level;
import java.util.logging.Logger;
import net.jqwik.api.ForAll;
import net.jqwik.api.Group;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.IntRange;
import net.jqwik.api.constraints.Size;
import net.jqwik.api.lifecycle.AfterContainer;
import net.jqwik.api.lifecycle.BeforeContainer;

class JournalPropertyTest {
  /**
   * Logger that is silenced, because thousands of injected faults would be logged. The strong
   * reference keeps the logger, and thus its level, from being garbage collected.
   */
  private static final Logger HANDLER_LOGGER = Logger.getLogger(JournalHandler.class.getName());

  private static final List<GroupId> GROUPS = List.of(GroupId.CONTROL, GroupId.keys(0));

  private final Path folder = Path.of("/data");

  /** An in-memory data folder with a model of each group. */
  private static final class Replica {
    private final Path folder;
    private final Random random;
    private final FaultyFiles files;
    private final Map<GroupId, GroupModel> models = new LinkedHashMap<>();

    Replica(Path folder, long seed) {
      this.folder = folder;
      random = new Random(seed);
      files = new FaultyFiles(random);
      GROUPS.forEach(group -> models.put(group, new GroupModel(group)));
    }

    Either<JournalError, DataFolder> open() {
      return DataFolder.open(files, folder, "c1", GROUPS);
    }

    DataFolder opened() {
      return open().getOrElseThrow(error -> new AssertionError(error.message()));
    }

    /** Writes random messages. Returns whether the journal reported a failure. */
    boolean write(DataFolder data, int batches) {
      List<JournalEvent> events = new ArrayList<>();
      JournalHandler handler = new JournalHandler(data, events::add);
      for (int batch = 0; batch < batches; batch++) {
        int count = 1 + random.nextInt(4);
        for (int i = 0; i < count; i++) {
          GroupId group = GROUPS.get(random.nextInt(GROUPS.size()));
          handler.handle(models.get(group).next(random), 0);
        }
        handler.batchEnd(0);
      }
      for (JournalEvent event : events) {
        if (event instanceof JournalEvent.Synced synced) {
          models.get(synced.group()).reportSynced(synced.sequence());
        }
      }
      return events.stream().anyMatch(JournalEvent.Failed.class::isInstance);
    }
  }

  @BeforeContainer
  static void silenceInjectedFaults() {
    HANDLER_LOGGER.setLevel(Level.OFF);
  }

  @AfterContainer
  static void restoreLogging() {
    HANDLER_LOGGER.setLevel(null);
  }

  private Replica replica(long seed) {
    return new Replica(folder, seed);
  }

  /** Checks that a group holds all synced messages, and continues its model from there. */
  private static void assertAllowed(DataFolder data, GroupId group, GroupModel model) {
    RecoveredGroup found = data.takeRecovered(group).orElseThrow();
    assertTrue(model.allowedAfterCrash().contains(found), () -> group + " holds " + found);
    model.restart(found);
  }

  @Group
  class AfterACrash {
    /** Guards against a restart that loses synced messages or mixes two states. */
    @Property(seed = "4711", tries = 2_000)
    void keepsAPrefixWithAllSyncedMessages(
        @ForAll long seed,
        @ForAll @IntRange(max = 150) int first,
        @ForAll @IntRange(max = 90) int second) {
      Replica replica = replica(seed);
      for (int steps : List.of(first, second, Integer.MAX_VALUE)) {
        replica.files.crashAfter(steps);
        Either<JournalError, DataFolder> data = replica.open();
        if (data.isRight()) {
          boolean failed = replica.write(data.get(), 15);
          assertTrue(
              steps < Integer.MAX_VALUE || !failed, "journal failed without an injected fault");
        } else {
          assertEquals(JournalError.Kind.ACCESS, data.getLeft().kind(), data.getLeft().message());
        }
        replica.files.crash();
        DataFolder recovered = replica.opened();
        replica.models.forEach((group, model) -> assertAllowed(recovered, group, model));
        recovered.close();
      }
    }
  }

  @Group
  class AfterTheEndOfAProcess {
    /**
     * Guards against a replica that counts entries as stored which its earlier process wrote but
     * did not sync, and which a loss of power removes.
     */
    @Property(seed = "4712", tries = 2_000)
    void recoveredStateSurvivesALossOfPower(
        @ForAll long seed, @ForAll @IntRange(max = 150) int steps) {
      Replica replica = replica(seed);
      replica.files.crashAfter(steps);
      replica.open().forEach(data -> replica.write(data, 15));
      replica.files.endProcess();
      Map<GroupId, RecoveredGroup> found = new LinkedHashMap<>();
      DataFolder recovered = replica.opened();
      GROUPS.forEach(group -> found.put(group, recovered.takeRecovered(group).orElseThrow()));
      replica.files.crash();
      DataFolder afterPowerLoss = replica.opened();
      GROUPS.forEach(
          group ->
              assertEquals(found.get(group), afterPowerLoss.takeRecovered(group).orElseThrow()));
    }
  }

  @Group
  class AfterAFullDisk {
    /** Guards against a folder that cannot be used any more once its disk has space again. */
    @Property(seed = "4713", tries = 1_000)
    void canBeUsedAgain(
        @ForAll long seed,
        @ForAll @IntRange(max = 3_000) int freeBytes,
        @ForAll @IntRange(max = 5) int restarts) {
      Replica replica = replica(seed);
      replica.files.limitSpace(freeBytes);
      for (int i = 0; i <= restarts; i++) {
        Either<JournalError, DataFolder> data = replica.open();
        if (data.isRight()) {
          replica.models.forEach((group, model) -> assertAllowed(data.get(), group, model));
          boolean unused = replica.write(data.get(), 15);
        } else {
          assertEquals(JournalError.Kind.ACCESS, data.getLeft().kind(), data.getLeft().message());
        }
        replica.files.endProcess();
      }
      replica.files.limitSpace(Long.MAX_VALUE);
      DataFolder data = replica.opened();
      replica.models.forEach((group, model) -> assertAllowed(data, group, model));
      assertFalse(replica.write(data, 15), "the journal failed although the disk has space");
    }
  }

  @Group
  class WithOneFlippedByte {
    /**
     * Guards against damaged data that is accepted and against losing more than the last message.
     */
    @Property(seed = "4712", tries = 3_000)
    void failsToOpenOrLosesTheLastMessage(
        @ForAll long seed, @ForAll @IntRange(min = 1, max = 255) int flip) {
      Replica replica = replica(seed);
      DataFolder data = replica.opened();
      assertFalse(replica.write(data, 6));
      data.close();
      List<Path> all = replica.files.filesBelow(folder);
      List<Path> files = all.stream().filter(file -> !file.endsWith("lock")).toList();
      Path file = files.get(replica.random.nextInt(files.size()));
      byte[] bytes = read(replica.files, file);
      int at = replica.random.nextInt(bytes.length);
      bytes[at] ^= (byte) flip;
      replica.files.replace(file, bytes);
      Either<JournalError, DataFolder> found = replica.open();
      if (found.isLeft()) {
        assertEquals(file, found.getLeft().file());
        return;
      }
      assertTrue(file.getFileName().toString().startsWith("log-"), file.toString());
      replica.models.forEach(
          (group, model) ->
              assertTrue(
                  model.lastTwo().contains(found.get().takeRecovered(group).orElseThrow()),
                  () -> "flip of byte " + at + " in " + file));
    }
  }

  @Group
  class WithArbitraryContents {
    /** Guards against exceptions and large allocations for arbitrary file contents. */
    @Property(seed = "4713", tries = 1_000)
    void neverThrows(@ForAll @Size(max = 300) byte[] bytes, @ForAll boolean snapshot) {
      Replica replica = replica(1);
      replica.opened().close();
      String name = snapshot ? "control/snapshot-7" : "control/log-1-1";
      replica.files.replace(folder.resolve(name), bytes);
      assertTrue(replica.open().isLeft());
    }

    /** Guards against exceptions for valid records with inconsistent contents. */
    @Property(seed = "4714", tries = 2_000)
    void neverThrowsOnInconsistentRecords(@ForAll long seed) {
      Replica replica = replica(seed);
      replica.opened().close();
      Path file = folder.resolve("control/log-1-1");
      byte[] header = read(replica.files, file);
      byte[] bytes = header;
      for (int i = replica.random.nextInt(6); i > 0; i--) {
        byte[] record = RecordCodec.encode(randomRecord(replica.random), 1, bytes.length);
        byte[] joined = Arrays.copyOf(bytes, bytes.length + record.length);
        System.arraycopy(record, 0, joined, bytes.length, record.length);
        bytes = joined;
      }
      replica.files.replace(file, bytes);
      Either<JournalError, DataFolder> found = replica.open();
      assertTrue(found.isRight() || found.getLeft().file().equals(file));
    }

    private LogRecord randomRecord(Random random) {
      byte[] payload = new byte[random.nextInt(12)];
      random.nextBytes(payload);
      if (payload.length > 4) {
        Arrays.fill(payload, 0, 4, (byte) random.nextInt(2));
      }
      LogRecord.Type[] types = LogRecord.Type.values();
      return new LogRecord(
          types[random.nextInt(types.length)],
          random.nextBoolean(),
          random.nextInt(3),
          random.nextInt(4),
          Payload.copyOf(payload));
    }
  }

  private static byte[] read(FaultyFiles files, Path file) {
    try {
      return files.read(file);
    } catch (IOException e) {
      throw new UncheckedIOException(e);
    }
  }
}
