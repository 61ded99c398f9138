package dev.caroblb.agreement.journal;

import java.nio.file.Path;

/**
 * Reason why a data folder cannot be used, with a remedy for the operator.
 *
 * @param kind what is wrong
 * @param file affected file or folder
 * @param offset byte offset in the file at which the fault starts
 * @param detail description of the fault
 */
public record JournalError(Kind kind, Path file, long offset, String detail) {
  private static final String REPLACE =
      "move the data folder away and start with an empty one; the instance then joins as a new"
          + " member, which needs a majority of healthy replicas";

  /** Kinds of faults, each with its remedy. */
  public enum Kind {
    LOCKED("stop the other process that uses the folder, or configure another folder"),
    NOT_A_DATA_FOLDER("configure an empty folder or an existing data folder"),
    WRONG_VERSION("start the release that wrote the folder"),
    WRONG_CLUSTER("correct cluster or data_folder in the settings"),
    WRONG_GROUPS("set key_groups back to the number the folder was formatted with"),
    BAD_FORMAT_FILE(REPLACE),
    BAD_RECORD(REPLACE),
    BAD_SNAPSHOT(REPLACE),
    GAP(REPLACE),
    ACCESS("check the disk, its free space and the permissions of the folder, then restart");

    private final String remedy;

    Kind(String remedy) {
      this.remedy = remedy;
    }

    public String remedy() {
      return remedy;
    }
  }

  /** One-line message for operators. */
  public String message() {
    return file + " at byte " + offset + ": " + detail + "; " + kind.remedy();
  }

  @Override
  public String toString() {
    return message();
  }
}
