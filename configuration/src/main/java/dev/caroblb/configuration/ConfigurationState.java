package dev.caroblb.configuration;

import dev.caroblb.configuration.ConfigurationCommand.CheckedFile;
import dev.caroblb.configuration.teamfile.TeamFileError;
import io.vavr.collection.HashMap;
import io.vavr.collection.TreeMap;
import java.util.ArrayList;
import java.util.Collections;
import java.util.Comparator;
import java.util.List;
import java.util.Optional;

/**
 * Replicated configuration: the accepted files, the current number and the publishes recorded to
 * answer resends.
 *
 * <p>Objects are immutable and share structure. Other threads can therefore hold one, and the cost
 * of publishing one file does not depend on the number of files.
 */
public final class ConfigurationState {
  /** Number of the latest accepted publishes that are kept to answer resends. */
  public static final int MAX_RECORDED_PUBLISHES = 1_000;

  /** Changes kept beyond twice the number of files before superseded ones are removed. */
  private static final int COMPACTION_SLACK = 1_000;

  private static final ConfigurationState EMPTY =
      new ConfigurationState(
          0,
          HashMap.empty(),
          TreeMap.empty(),
          NameClaims.empty(),
          NameClaims.empty(),
          io.vavr.collection.List.empty(),
          0);

  private final long number;
  private final HashMap<String, StoredFile> files;
  private final TreeMap<Long, RecordedPublish> recorded;
  private final NameClaims teams;
  private final NameClaims workspaces;

  /** Cursors of the changes, latest first; some are superseded by a later change of the file. */
  private final io.vavr.collection.List<FileCursor> changes;

  private final int changeCount;

  private ConfigurationState(
      long number,
      HashMap<String, StoredFile> files,
      TreeMap<Long, RecordedPublish> recorded,
      NameClaims teams,
      NameClaims workspaces,
      io.vavr.collection.List<FileCursor> changes,
      int changeCount) {
    this.number = number;
    this.files = files;
    this.recorded = recorded;
    this.teams = teams;
    this.workspaces = workspaces;
    this.changes = changes;
    this.changeCount = changeCount;
  }

  public static ConfigurationState empty() {
    return EMPTY;
  }

  /** Restores a state from the content of a snapshot. */
  public static ConfigurationState restored(
      long number, List<StoredFile> files, List<RecordedPublish> recorded) {
    HashMap<String, StoredFile> fileMap = HashMap.empty();
    TreeMap<Long, RecordedPublish> recordedMap = TreeMap.empty();
    NameClaims teams = NameClaims.empty();
    NameClaims workspaces = NameClaims.empty();
    List<FileCursor> cursors = new ArrayList<>();
    for (StoredFile file : files) {
      fileMap = fileMap.put(file.name(), file);
      cursors.add(file.cursor());
      teams = teams.with(file.team(), file.name());
      for (String workspace : file.workspaces()) {
        workspaces = workspaces.with(workspace, file.name());
      }
    }
    for (RecordedPublish publish : recorded) {
      recordedMap = recordedMap.put(publish.number(), publish);
    }
    cursors.sort(Comparator.reverseOrder());
    return new ConfigurationState(
        number,
        fileMap,
        recordedMap,
        teams,
        workspaces,
        io.vavr.collection.List.ofAll(cursors),
        cursors.size());
  }

  /** Number of the latest accepted publish, 0 before the first one. */
  public long number() {
    return number;
  }

  /** All files in ascending order of their cursors. */
  public List<StoredFile> files() {
    return changesAfter(FileCursor.after(0));
  }

  /** The recorded publishes in ascending order of their numbers. */
  public List<RecordedPublish> recorded() {
    return recorded.values().toJavaList();
  }

  /** The result for a number that is not greater than the current one; empty for a new number. */
  public Optional<CommandResult> knownResult(long requestedNumber, String digest) {
    if (requestedNumber > number) {
      return Optional.empty();
    }
    Optional<RecordedPublish> winner = recorded.get(requestedNumber).toJavaOptional();
    if (winner.isEmpty()) {
      return Optional.of(new CommandResult.Outdated(requestedNumber, number));
    }
    if (winner.get().digest().equals(digest)) {
      return Optional.of(new CommandResult.Accepted(requestedNumber));
    }
    return Optional.of(
        new CommandResult.Conflict(requestedNumber, winner.get().request(), winner.get().digest()));
  }

  /** Applies a publish, either all of its files or none. */
  public Change accept(ConfigurationCommand.Accept publish) {
    Optional<CommandResult> knownResult = knownResult(publish.number(), publish.digest());
    if (knownResult.isPresent()) {
      return new Change(this, knownResult.get());
    }
    NameClaims newTeams = teams;
    NameClaims newWorkspaces = workspaces;
    for (CheckedFile file : publish.files()) {
      Optional<StoredFile> old = files.get(file.name()).toJavaOptional();
      newTeams = newTeams.without(old.map(StoredFile::team).stream().toList());
      newWorkspaces = newWorkspaces.without(old.map(StoredFile::workspaces).orElse(List.of()));
    }
    List<TeamFileError> errors = new ArrayList<>();
    for (CheckedFile file : publish.files()) {
      newTeams.conflict("team", file.team(), file.name()).ifPresent(errors::add);
      newTeams = newTeams.with(file.team(), file.name());
      for (String workspace : file.workspaces()) {
        newWorkspaces.conflict("workspaces", workspace, file.name()).ifPresent(errors::add);
        newWorkspaces = newWorkspaces.with(workspace, file.name());
      }
    }
    if (!errors.isEmpty()) {
      return new Change(this, new CommandResult.Refused(errors));
    }
    ConfigurationState next = withFiles(publish, newTeams, newWorkspaces);
    return new Change(next, new CommandResult.Accepted(publish.number()));
  }

  private ConfigurationState withFiles(
      ConfigurationCommand.Accept publish, NameClaims newTeams, NameClaims newWorkspaces) {
    HashMap<String, StoredFile> newFiles = files;
    List<FileCursor> cursors = new ArrayList<>();
    for (CheckedFile file : publish.files()) {
      StoredFile stored =
          new StoredFile(
              file.name(), file.text(), file.team(), file.workspaces(), publish.number());
      newFiles = newFiles.put(file.name(), stored);
      cursors.add(stored.cursor());
    }
    Collections.sort(cursors);
    io.vavr.collection.List<FileCursor> newChanges = changes;
    for (FileCursor cursor : cursors) {
      newChanges = newChanges.prepend(cursor);
    }
    int newCount = changeCount + cursors.size();
    if (newCount > 2 * newFiles.size() + COMPACTION_SLACK) {
      HashMap<String, StoredFile> currentFiles = newFiles;
      newChanges = newChanges.filter(cursor -> isCurrent(currentFiles, cursor));
      newCount = newChanges.size();
    }
    return new ConfigurationState(
        publish.number(), newFiles, record(publish), newTeams, newWorkspaces, newChanges, newCount);
  }

  private TreeMap<Long, RecordedPublish> record(ConfigurationCommand.Accept publish) {
    TreeMap<Long, RecordedPublish> newRecorded =
        recorded.put(
            publish.number(),
            new RecordedPublish(publish.number(), publish.request(), publish.digest()));
    return newRecorded.size() > MAX_RECORDED_PUBLISHES ? newRecorded.tail() : newRecorded;
  }

  /**
   * The current versions of the files changed after a cursor, in ascending order of their cursors.
   */
  public List<StoredFile> changesAfter(FileCursor after) {
    List<StoredFile> found = new ArrayList<>();
    for (FileCursor cursor : changes) {
      if (cursor.compareTo(after) <= 0) {
        break;
      }
      if (isCurrent(files, cursor)) {
        found.add(files.get(cursor.file()).get());
      }
    }
    Collections.reverse(found);
    return found;
  }

  private static boolean isCurrent(HashMap<String, StoredFile> files, FileCursor cursor) {
    return files.get(cursor.file()).exists(file -> file.publishNumber() == cursor.number());
  }

  /** The state after a command, with the result of the command. */
  public record Change(ConfigurationState state, CommandResult result) {}
}
