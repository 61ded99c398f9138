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
 * Replicated configuration: accepted files, the current number and the recorded answers.
 *
 * <p>Instances are immutable and share structure, so that another thread can keep one and a publish
 * of one file costs the same with few or many files.
 */
public final class ConfigurationState {
  /** Number of accepted publishes whose answers are recorded. */
  public static final int RECORDED_NUMBERS = 1_000;

  /** Superseded positions tolerated before the sequence of changes is cleaned. */
  private static final int SUPERSEDED_SLACK = 1_000;

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

  /** Positions of the changes, latest first; a superseded position no longer names its file. */
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

  /** Rebuilds a state from the parts that a snapshot holds. */
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

  /** All files in ascending order of their positions. */
  public List<StoredFile> files() {
    return changesAfter(FileCursor.after(0));
  }

  /** The recorded publishes in ascending order of their numbers. */
  public List<RecordedPublish> recorded() {
    return recorded.values().toJavaList();
  }

  /** The answer that is already certain for a number and a content, empty for a new number. */
  public Optional<CommandResult> decided(long askedNumber, String digest) {
    if (askedNumber > number) {
      return Optional.empty();
    }
    Optional<RecordedPublish> winner = recorded.get(askedNumber).toJavaOptional();
    if (winner.isEmpty()) {
      return Optional.of(new CommandResult.Outdated(askedNumber, number));
    }
    if (winner.get().digest().equals(digest)) {
      return Optional.of(new CommandResult.Accepted(askedNumber));
    }
    return Optional.of(
        new CommandResult.Conflict(askedNumber, winner.get().request(), winner.get().digest()));
  }

  /** Applies a publish, all or nothing. */
  public Change accept(ConfigurationCommand.Accept publish) {
    Optional<CommandResult> earlier = decided(publish.number(), publish.digest());
    if (earlier.isPresent()) {
      return new Change(this, earlier.get());
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
    if (newCount > 2 * newFiles.size() + SUPERSEDED_SLACK) {
      HashMap<String, StoredFile> currentFiles = newFiles;
      newChanges = newChanges.filter(cursor -> names(currentFiles, cursor));
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
    return newRecorded.size() > RECORDED_NUMBERS ? newRecorded.tail() : newRecorded;
  }

  /** The files behind a position in ascending order of their positions. */
  public List<StoredFile> changesAfter(FileCursor position) {
    List<StoredFile> found = new ArrayList<>();
    for (FileCursor cursor : changes) {
      if (cursor.compareTo(position) <= 0) {
        break;
      }
      if (names(files, cursor)) {
        found.add(files.get(cursor.file()).get());
      }
    }
    Collections.reverse(found);
    return found;
  }

  private static boolean names(HashMap<String, StoredFile> files, FileCursor cursor) {
    return files.get(cursor.file()).exists(file -> file.changedBy() == cursor.number());
  }

  /** A state with the result of the command that led to it. */
  public record Change(ConfigurationState state, CommandResult result) {}
}
