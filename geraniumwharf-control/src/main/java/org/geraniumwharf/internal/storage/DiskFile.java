package org.geraniumwharf.internal.storage;

import java.io.Closeable;
import java.io.IOException;
import java.nio.ByteBuffer;

/** An open file. */
interface DiskFile extends Closeable {

  long size() throws IOException;

  /** Reads at a position; returns the number of bytes, or -1 at the end of the file. */
  int read(ByteBuffer target, long position) throws IOException;

  /** Writes some of the bytes at a position and returns their number. */
  int write(ByteBuffer source, long position) throws IOException;

  void truncate(long size) throws IOException;

  /** Returns once all that was written before is durable. */
  void sync() throws IOException;

  /** Like {@link #sync} for a file whose name is durable already. */
  void syncData() throws IOException;
}
