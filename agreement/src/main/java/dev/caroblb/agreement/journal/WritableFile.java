package dev.caroblb.agreement.journal;

import java.io.Closeable;
import java.io.IOException;

/** File opened for appending. */
public interface WritableFile extends Closeable {
  void write(byte[] bytes) throws IOException;

  /** Truncates the file; later writes start at its new end. */
  void truncate(long size) throws IOException;

  /** Makes everything written so far durable. */
  void sync() throws IOException;
}
