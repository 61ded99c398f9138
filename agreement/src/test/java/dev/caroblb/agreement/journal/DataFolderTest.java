package dev.caroblb.agreement.journal;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertNotEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import dev.caroblb.agreement.EntryKind;
import dev.caroblb.agreement.LogEntry;
import dev.caroblb.agreement.RecoveredGroup;
import dev.caroblb.agreement.Snapshot;
import dev.caroblb.core.GroupId;
import dev.caroblb.core.Payload;
import io.vavr.control.Either;
import java.io.IOException;
import java.io.RandomAccessFile;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.nio.file.StandardCopyOption;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

class DataFolderTest {
  private static final List<GroupId> GROUPS = List.of(GroupId.CONTROL, GroupId.keys(0));

  @TempDir private Path parent;

  private Path folder() {
    return parent.resolve("data");
  }

  private Either<JournalError, DataFolder> open() {
    return DataFolder.open(folder(), "c1", GROUPS);
  }

  private DataFolder opened() {
    return open().getOrElseThrow(error -> new AssertionError(error.message()));
  }

  private static LogEntry entry(long index) {
    return new LogEntry(index, 1, EntryKind.COMMAND, Payload.ofText("entry " + index));
  }

  /** Writes entries 1 to 3, each in its own batch, and closes the folder. */
  private Path writeThreeEntries() {
    try (DataFolder data = opened()) {
      List<JournalEvent> events = new ArrayList<>();
      JournalHandler handler = new JournalHandler(data, events::add);
      for (int i = 1; i <= 3; i++) {
        handler.handle(new JournalMessage.Append(GroupId.CONTROL, i, List.of(entry(i))), 0);
        handler.batchEnd(0);
      }
      assertEquals(3, events.size());
    }
    return folder().resolve("control/log-1-1");
  }

  private void snapshot(long lastIndex) {
    try (DataFolder data = opened()) {
      Snapshot snapshot = new Snapshot(lastIndex, 1, List.of(), Payload.ofText("state"));
      JournalHandler handler = new JournalHandler(data, event -> true);
      handler.handle(new JournalMessage.SaveSnapshot(GroupId.CONTROL, 4, snapshot, true), 0);
      handler.batchEnd(0);
    }
  }

  private JournalError refused(JournalError.Kind kind) {
    JournalError error = open().getLeft();
    assertEquals(kind, error.kind(), error.message());
    assertTrue(error.message().contains(kind.remedy()));
    return error;
  }

  @Nested
  class WhenEmpty {
    /** Guards against an incarnation that two folders share or that changes at a restart. */
    @Test
    void getsAPermanentIncarnation() {
      DataFolder first = opened();
      assertTrue(first.formatted());
      assertTrue(first.incarnation().matches("[0-9a-f]{32}"));
      first.close();
      DataFolder again = opened();
      assertFalse(again.formatted());
      assertEquals(first.incarnation(), again.incarnation());
      assertEquals(RecoveredGroup.blank(), again.takeRecovered(GroupId.CONTROL).orElseThrow());
      again.close();
      DataFolder other =
          DataFolder.open(parent.resolve("other"), "c1", GROUPS)
              .getOrElseThrow(error -> new AssertionError(error.message()));
      assertNotEquals(first.incarnation(), other.incarnation());
      other.close();
    }
  }

  @Nested
  class WhenUsedByAnother {
    /** Guards against two processes that vote with the same identity. */
    @Test
    void isLocked() {
      DataFolder first = opened();
      refused(JournalError.Kind.LOCKED);
      first.close();
      opened().close();
    }

    /** Guards against formatting a folder that contains other files. */
    @Test
    void refusesForeignFiles() throws IOException {
      Files.createDirectories(folder());
      Files.writeString(folder().resolve("notes.txt"), "x");
      refused(JournalError.Kind.NOT_A_DATA_FOLDER);
    }
  }

  @Nested
  class WithOtherSettings {
    /** Guards against a replica that joins another cluster with its stored votes and entries. */
    @Test
    void refusesAnotherCluster() {
      opened().close();
      JournalError error = DataFolder.open(folder(), "c2", GROUPS).getLeft();
      assertEquals(JournalError.Kind.WRONG_CLUSTER, error.kind());
    }

    /** Guards against keys that hash to a different group than the one that stored them. */
    @Test
    void refusesAnotherNumberOfGroups() {
      opened().close();
      JournalError error = DataFolder.open(folder(), "c1", List.of(GroupId.CONTROL)).getLeft();
      assertEquals(JournalError.Kind.WRONG_GROUPS, error.kind());
    }

    /** Guards against reading a format that this release does not support. */
    @Test
    void refusesAnotherVersion() throws IOException {
      opened().close();
      String body = "version=2\nanything\n";
      byte[] bytes = body.getBytes(StandardCharsets.UTF_8);
      String checksum = String.format("crc32c=%08x\n", RecordCodec.crc(bytes, 0, bytes.length));
      Files.writeString(folder().resolve("format"), body + checksum);
      refused(JournalError.Kind.WRONG_VERSION);
    }
  }

  @Nested
  class WithDamagedFiles {
    /** Guards against a torn record that prevents a restart, or that remains before new records. */
    @Test
    void tornTailIsTruncated() throws IOException {
      Path log = writeThreeEntries();
      byte[] bytes = Files.readAllBytes(log);
      Files.write(log, Arrays.copyOf(bytes, bytes.length - 1));
      DataFolder data = opened();
      assertEquals(
          List.of(entry(1), entry(2)), data.takeRecovered(GroupId.CONTROL).orElseThrow().entries());
      assertTrue(Files.size(log) < bytes.length - 1);
      data.close();
    }

    /** Guards against damage in the middle of a segment that is treated as a torn tail. */
    @Test
    void invalidRecordBeforeAValidOneIsReported() throws IOException {
      Path log = writeThreeEntries();
      byte[] bytes = Files.readAllBytes(log);
      int record = RecordCodec.HEADER_BYTES + entry(1).payload().size();
      bytes[bytes.length - record - 1] ^= 1;
      Files.write(log, bytes);
      JournalError error = refused(JournalError.Kind.BAD_RECORD);
      assertEquals(log, error.file());
      assertEquals(bytes.length - 2L * record, error.offset());
    }

    /** Guards against a replica that starts empty because its snapshot cannot be read. */
    @Test
    void damagedSnapshotIsReported() throws IOException {
      writeThreeEntries();
      snapshot(2);
      Path file = folder().resolve("control/snapshot-2");
      byte[] bytes = Files.readAllBytes(file);
      bytes[bytes.length / 2] ^= 1;
      Files.write(file, bytes);
      assertEquals(file, refused(JournalError.Kind.BAD_SNAPSHOT).file());
    }

    /** Guards against recovering entries without the snapshot that they follow. */
    @Test
    void missingSnapshotIsReported() throws IOException {
      writeThreeEntries();
      snapshot(3);
      Files.delete(folder().resolve("control/snapshot-3"));
      refused(JournalError.Kind.GAP);
    }

    /** Guards against a missing folder that is treated as an empty group. */
    @Test
    void missingGroupFolderIsReported() throws IOException {
      Path log = writeThreeEntries();
      Files.delete(log);
      Files.delete(log.getParent());
      refused(JournalError.Kind.GAP);
    }

    /** Guards against allocating memory for a file larger than the journal writes. */
    @Test
    void oversizedFilesAreNotRead() throws IOException {
      Path log = writeThreeEntries();
      for (Path file : List.of(folder().resolve("control/snapshot-2"), log)) {
        try (RandomAccessFile sparse = new RandomAccessFile(file.toFile(), "rw")) {
          sparse.setLength(1L << 40);
        }
        JournalError error = open().getLeft();
        assertEquals(file, error.file());
        assertTrue(error.detail().contains("at most"), error.message());
        Files.delete(file);
      }
    }

    /** Guards against recovering votes and entries of another replica or group. */
    @Test
    void copiedSegmentIsReported() throws IOException {
      Path log = writeThreeEntries();
      Files.copy(log, folder().resolve("keys-0/log-1-1"), StandardCopyOption.REPLACE_EXISTING);
      refused(JournalError.Kind.BAD_RECORD);
    }
  }
}
