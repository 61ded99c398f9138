package dev.caroblb.agreement.journal;

import dev.caroblb.agreement.RecoveredGroup;
import dev.caroblb.agreement.journal.JournalError.Kind;
import dev.caroblb.core.GroupId;
import dev.caroblb.core.LogLine;
import io.vavr.control.Either;
import java.io.IOException;
import java.nio.file.Path;
import java.security.SecureRandom;
import java.util.HashMap;
import java.util.HashSet;
import java.util.HexFormat;
import java.util.List;
import java.util.Map;
import java.util.Optional;

/**
 * Data folder of a replica, locked by this process. An empty folder is formatted and gets a new
 * incarnation; otherwise its groups are recovered.
 */
public final class DataFolder implements AutoCloseable {
  private static final System.Logger LOGGER = System.getLogger(DataFolder.class.getName());
  private static final String LOCK = "lock";
  private static final String TEMPORARY_FORMAT_FILE = FormatFile.NAME + FileNames.TEMPORARY_SUFFIX;
  private static final int INCARNATION_BYTES = 16;

  private final Path folder;
  private final String incarnation;
  private final boolean formatted;
  private final AutoCloseable lock;
  private final Map<GroupId, GroupLog> logs = new HashMap<>();
  private final Map<GroupId, RecoveredGroup> recovered = new HashMap<>();

  private DataFolder(Path folder, String incarnation, boolean formatted, AutoCloseable lock) {
    this.folder = folder;
    this.incarnation = incarnation;
    this.formatted = formatted;
    this.lock = lock;
  }

  /** Locks and opens a folder on the local disk. */
  public static Either<JournalError, DataFolder> open(
      Path folder, String cluster, List<GroupId> groups) {
    return open(new DiskFileAccess(), folder, cluster, groups);
  }

  /** Locks a folder, formats it if it is empty, and recovers its groups. */
  public static Either<JournalError, DataFolder> open(
      FileAccess files, Path folder, String cluster, List<GroupId> groups) {
    Optional<AutoCloseable> lock = Optional.empty();
    boolean opened = false;
    try {
      files.createFolder(folder);
      Path lockFile = folder.resolve(LOCK);
      lock = files.lock(lockFile);
      if (lock.isEmpty()) {
        return Either.left(
            new JournalError(Kind.LOCKED, lockFile, 0, "the folder is locked by another process"));
      }
      DataFolder data = openLocked(files, folder, new FormatFile(cluster, "", groups), lock.get());
      opened = true;
      return Either.right(data);
    } catch (JournalException e) {
      return Either.left(e.error());
    } catch (IOException e) {
      return Either.left(new JournalError(Kind.ACCESS, folder, 0, e.toString()));
    } finally {
      if (!opened) {
        lock.ifPresent(DataFolder::release);
      }
    }
  }

  private static DataFolder openLocked(
      FileAccess files, Path folder, FormatFile wanted, AutoCloseable lock)
      throws JournalException, IOException {
    Path formatFile = folder.resolve(FormatFile.NAME);
    Optional<Long> size = files.size(formatFile);
    boolean format = size.isEmpty();
    if (!format && size.get() > FormatFile.MAX_BYTES) {
      throw new JournalException(
          Kind.BAD_FORMAT_FILE,
          formatFile,
          0,
          "format file is too large: " + size.get() + " bytes");
    }
    FormatFile found =
        format
            ? format(files, folder, wanted)
            : FormatFile.decode(formatFile, files.read(formatFile));
    check(formatFile, wanted, found);
    // Also needed for a folder that is formatted: an earlier process may have ended between the
    // rename of the format file and these syncs.
    files.syncFolder(folder);
    files.syncFolder(folder.toAbsolutePath().getParent());
    DataFolder data = new DataFolder(folder, found.incarnation(), format, lock);
    for (GroupId group : found.groups()) {
      data.recover(files, group);
    }
    return data;
  }

  private static void check(Path file, FormatFile wanted, FormatFile found)
      throws JournalException {
    if (!found.cluster().equals(wanted.cluster())) {
      throw new JournalException(
          Kind.WRONG_CLUSTER,
          file,
          0,
          "folder belongs to cluster "
              + found.cluster()
              + ", but the settings name "
              + wanted.cluster());
    }
    if (!new HashSet<>(found.groups()).equals(new HashSet<>(wanted.groups()))) {
      throw new JournalException(
          Kind.WRONG_GROUPS,
          file,
          0,
          "folder contains groups "
              + found.groups()
              + ", but the settings require "
              + wanted.groups());
    }
  }

  /**
   * Formats the folder. The format file is renamed to its final name last, so that an interrupted
   * formatting is repeated at the next start. The caller syncs the names.
   */
  private static FormatFile format(FileAccess files, Path folder, FormatFile wanted)
      throws JournalException, IOException {
    List<String> names = files.list(folder);
    boolean interrupted = names.contains(TEMPORARY_FORMAT_FILE);
    if (!interrupted && !List.of(LOCK).containsAll(names)) {
      throw new JournalException(
          Kind.NOT_A_DATA_FOLDER,
          folder,
          0,
          "folder has no format file but contains other files: " + names);
    }
    byte[] random = new byte[INCARNATION_BYTES];
    new SecureRandom().nextBytes(random);
    FormatFile format =
        new FormatFile(wanted.cluster(), HexFormat.of().formatHex(random), wanted.groups());
    Path file = folder.resolve(FormatFile.NAME);
    Path temporary = DurableFiles.writeTemporary(files, file, format.encode());
    files.syncFolder(folder);
    for (GroupId group : wanted.groups()) {
      GroupLog.format(files, folder.resolve(group.name()), group, format.incarnation());
    }
    files.syncFolder(folder);
    files.rename(temporary, file);
    return format;
  }

  private void recover(FileAccess files, GroupId group) throws JournalException, IOException {
    Path groupFolder = folder.resolve(group.name());
    if (files.size(groupFolder).isEmpty()) {
      throw new JournalException(Kind.GAP, groupFolder, 0, "the folder of the group is missing");
    }
    RecoveredFiles found = new GroupRecovery(files, groupFolder, group, incarnation).recover();
    recovered.put(group, found.group());
    logs.put(group, new GroupLog(files, groupFolder, group, incarnation, found));
  }

  /** Random identity created when the folder was formatted, as 32 hex digits. */
  public String incarnation() {
    return incarnation;
  }

  /** Whether the folder was formatted when it was opened; the instance is then a new member. */
  public boolean formatted() {
    return formatted;
  }

  /**
   * Returns and releases the recovered state of a group. Empty if it was already taken, or if the
   * folder does not contain the group.
   */
  public Optional<RecoveredGroup> takeRecovered(GroupId group) {
    return Optional.ofNullable(recovered.remove(group));
  }

  Map<GroupId, GroupLog> logs() {
    return logs;
  }

  /** Closes the files and releases the lock. Must be called after the journal duty has ended. */
  @Override
  public void close() {
    logs.values().forEach(DataFolder::release);
    release(lock);
  }

  private static void release(AutoCloseable resource) {
    try {
      resource.close();
    } catch (Exception e) {
      LOGGER.log(
          System.Logger.Level.WARNING,
          LogLine.of("journal.close_failed").with("error", e).toString());
    }
  }
}
