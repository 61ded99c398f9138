package dev.caroblb.configuration.codec;

import dev.caroblb.configuration.FileCursor;
import dev.caroblb.configuration.PublishedFile;
import dev.caroblb.configuration.teamfile.TeamFileError;

/** Encoding of records that occur in several messages. */
final class CommonFields {
  private CommonFields() {}

  static void writeCursor(FieldWriter writer, FileCursor cursor) {
    writer.number(cursor.number()).text(cursor.file());
  }

  static FileCursor readCursor(FieldReader reader) {
    return new FileCursor(reader.longValue(), reader.text());
  }

  static void writeFile(FieldWriter writer, PublishedFile file) {
    writer.text(file.name()).text(file.text());
  }

  static PublishedFile readFile(FieldReader reader) {
    return new PublishedFile(reader.text(), reader.text());
  }

  static void writeError(FieldWriter writer, TeamFileError error) {
    writer
        .text(error.file())
        .number(error.line())
        .text(error.key())
        .text(error.found())
        .text(error.allowed())
        .text(error.remedy());
  }

  static TeamFileError readError(FieldReader reader) {
    return new TeamFileError(
        reader.text(),
        reader.intValue(),
        reader.text(),
        reader.text(),
        reader.text(),
        reader.text());
  }
}
