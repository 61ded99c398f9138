package dev.caroblb.resumption.journal;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import dev.caroblb.agreement.journal.DiskFileAccess;
import dev.caroblb.agreement.journal.FileAccess;
import dev.caroblb.agreement.journal.WritableFile;
import dev.caroblb.core.ManualMillisClock;
import dev.caroblb.core.SoftwareVersion;
import dev.caroblb.resumption.PeerMessage;
import dev.caroblb.resumption.StreamOrigin;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.nio.file.StandardOpenOption;
import java.util.List;
import java.util.Optional;
import java.util.stream.IntStream;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

class RecordJournalTest {
  private static final StreamOrigin V1 = new StreamOrigin("service", new SoftwareVersion("v1"));

  @TempDir Path folder;

  private final ManualMillisClock clock = new ManualMillisClock(1_000_000);
  private final DiskFileAccess disk = new DiskFileAccess();

  private static PeerMessage.StreamBegan record(int number) {
    return new PeerMessage.StreamBegan("attempt-" + number, V1, 30_000);
  }

  private void write(RecordJournal journal, int from, int to) {
    for (int i = from; i < to; i++) {
      journal.handle(record(i), clock.nowMs());
    }
    journal.batchEnd(clock.nowMs());
  }

  /** The attempts that a process finds which starts now. */
  private List<String> restored() {
    return new RecordJournal(disk, folder, clock)
        .restore().stream().map(PeerMessage.StreamBegan::attempt).toList();
  }

  private static List<String> attempts(int from, int to) {
    return IntStream.range(from, to).mapToObj(i -> "attempt-" + i).toList();
  }

  @Nested
  class Restarts {
    /** Guards against records that are lost when all control instances and an entry are killed. */
    @Test
    void keepWhatWasWritten() {
      RecordJournal first = new RecordJournal(disk, folder, clock);
      assertEquals(List.of(), first.restore());
      write(first, 0, 24);
      RecordJournal second = new RecordJournal(disk, folder, clock);
      assertEquals(24, second.restore().size());
      write(second, 24, 30);
      assertEquals(attempts(0, 30), restored());
    }

    /** Guards against records that are kept for ever, or dropped by a small step of the clock. */
    @Test
    void forgetRecordsWhoseTimeIsOver() {
      RecordJournal journal = new RecordJournal(disk, folder, clock);
      assertEquals(List.of(), journal.restore());
      write(journal, 0, 2);
      clock.advance(35_000);
      assertEquals(attempts(0, 2), restored());
      clock.advance(6_000);
      assertEquals(List.of(), restored());
    }

    /** Guards against files that grow with the age of the system. */
    @Test
    void areBoundedInSize() throws IOException {
      RecordJournal journal = new RecordJournal(disk, folder, clock);
      assertEquals(List.of(), journal.restore());
      int written = 200_000;
      for (int i = 0; i < written; i += 100) {
        write(journal, i, i + 100);
      }
      long bytes = 0;
      for (String name : disk.list(folder)) {
        bytes += disk.size(folder.resolve(name)).orElse(0L);
      }
      assertTrue(bytes <= 8 << 20, "bytes on disk: " + bytes);
      List<String> restored = restored();
      assertTrue(restored.size() > 40_000, "restored: " + restored.size());
      assertEquals(attempts(written - restored.size(), written), restored);
    }
  }

  @Nested
  class Damage {
    /** Guards against a torn record that hides those written after the restart. */
    @Test
    void atTheEndIsCutOff() throws IOException {
      RecordJournal journal = new RecordJournal(disk, folder, clock);
      assertEquals(List.of(), journal.restore());
      write(journal, 0, 3);
      Path file = folder.resolve("streams.log");
      long size = Files.size(file);
      Files.write(file, new byte[] {0, 0, 0, 60, 1, 2, 3}, StandardOpenOption.APPEND);
      RecordJournal second = new RecordJournal(disk, folder, clock);
      assertEquals(3, second.restore().size());
      write(second, 3, 4);
      assertEquals(attempts(0, 4), restored());
      assertTrue(Files.size(file) > size);
    }

    /** Guards against a wrong version read from a damaged record. */
    @Test
    void inTheMiddleEndsTheRecords() throws IOException {
      RecordJournal journal = new RecordJournal(disk, folder, clock);
      assertEquals(List.of(), journal.restore());
      write(journal, 0, 3);
      Path file = folder.resolve("streams.log");
      byte[] bytes = Files.readAllBytes(file);
      bytes[bytes.length / 2] ^= 1;
      Files.write(file, bytes);
      assertEquals(attempts(0, 1), restored());
    }
  }

  @Nested
  class FullDisk {
    private final class LimitedDisk implements FileAccess {
      private long room = 100;

      @Override
      public WritableFile open(Path file) throws IOException {
        WritableFile opened = disk.open(file);
        return new WritableFile() {
          @Override
          public void write(byte[] bytes) throws IOException {
            int written = (int) Math.min(room, bytes.length);
            opened.write(java.util.Arrays.copyOf(bytes, written));
            room -= written;
            if (written < bytes.length) {
              throw new IOException("no space left on device");
            }
          }

          @Override
          public void truncate(long size) throws IOException {
            opened.truncate(size);
          }

          @Override
          public void sync() throws IOException {
            opened.sync();
          }

          @Override
          public void close() throws IOException {
            opened.close();
          }
        };
      }

      @Override
      public void createFolder(Path path) throws IOException {
        disk.createFolder(path);
      }

      @Override
      public List<String> list(Path path) throws IOException {
        return disk.list(path);
      }

      @Override
      public Optional<Long> size(Path file) throws IOException {
        return disk.size(file);
      }

      @Override
      public byte[] read(Path file) throws IOException {
        return disk.read(file);
      }

      @Override
      public void rename(Path from, Path to) throws IOException {
        disk.rename(from, to);
      }

      @Override
      public void delete(Path file) throws IOException {
        disk.delete(file);
      }

      @Override
      public void syncFolder(Path path) throws IOException {
        disk.syncFolder(path);
      }

      @Override
      public Optional<AutoCloseable> lock(Path file) throws IOException {
        return disk.lock(file);
      }
    }

    /** Guards against a record written in part that hides those written once there is room. */
    @Test
    void costsOnlyTheRecordsOfThatTime() {
      LimitedDisk limited = new LimitedDisk();
      RecordJournal journal = new RecordJournal(limited, folder, clock);
      assertEquals(List.of(), journal.restore());
      write(journal, 0, 1);
      write(journal, 1, 5);
      limited.room = 1 << 20;
      write(journal, 5, 6);
      clock.advance(5_000);
      write(journal, 6, 8);
      assertEquals(List.of("attempt-0", "attempt-6", "attempt-7"), restored());
    }
  }
}
