package dev.caroblb.agreement.journal;

import java.io.IOException;
import java.io.RandomAccessFile;
import java.io.UncheckedIOException;
import java.nio.channels.FileChannel;
import java.nio.channels.FileLock;
import java.nio.channels.OverlappingFileLockException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.nio.file.StandardCopyOption;
import java.nio.file.StandardOpenOption;
import java.util.List;
import java.util.Optional;
import java.util.stream.Stream;

/** File access on the local disk. */
public final class DiskFileAccess implements FileAccess {
  @Override
  public void createFolder(Path folder) throws IOException {
    Files.createDirectories(folder);
  }

  @Override
  public List<String> list(Path folder) throws IOException {
    try (Stream<Path> files = Files.list(folder)) {
      return files.map(file -> file.getFileName().toString()).sorted().toList();
    } catch (UncheckedIOException e) {
      throw e.getCause();
    }
  }

  @Override
  public Optional<Long> size(Path file) throws IOException {
    return Files.exists(file) ? Optional.of(Files.size(file)) : Optional.empty();
  }

  @Override
  public byte[] read(Path file) throws IOException {
    return Files.readAllBytes(file);
  }

  @Override
  public WritableFile open(Path file) throws IOException {
    RandomAccessFile opened = new RandomAccessFile(file.toFile(), "rw");
    opened.seek(opened.length());
    return new DiskFile(opened);
  }

  @Override
  public void rename(Path from, Path to) throws IOException {
    Files.move(from, to, StandardCopyOption.ATOMIC_MOVE, StandardCopyOption.REPLACE_EXISTING);
  }

  @Override
  public void delete(Path file) throws IOException {
    Files.deleteIfExists(file);
  }

  @Override
  public void syncFolder(Path folder) throws IOException {
    try (FileChannel channel = FileChannel.open(folder, StandardOpenOption.READ)) {
      channel.force(true);
    }
  }

  @Override
  public Optional<AutoCloseable> lock(Path file) throws IOException {
    FileChannel channel =
        FileChannel.open(file, StandardOpenOption.CREATE, StandardOpenOption.WRITE);
    try {
      FileLock lock = channel.tryLock();
      if (lock != null) {
        return Optional.of(channel);
      }
    } catch (OverlappingFileLockException e) {
      // The lock is held by another DataFolder of this process.
    }
    channel.close();
    return Optional.empty();
  }

  /**
   * Uses {@link RandomAccessFile}, because the interrupt that stops a duty would close a {@link
   * FileChannel}.
   */
  private record DiskFile(RandomAccessFile file) implements WritableFile {
    @Override
    public void write(byte[] bytes) throws IOException {
      file.write(bytes);
    }

    @Override
    public void truncate(long size) throws IOException {
      file.setLength(size);
      file.seek(size);
    }

    @Override
    public void sync() throws IOException {
      file.getFD().sync();
    }

    @Override
    public void close() throws IOException {
      file.close();
    }
  }
}
