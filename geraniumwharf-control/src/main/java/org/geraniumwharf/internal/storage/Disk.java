package org.geraniumwharf.internal.storage;

import java.io.IOException;
import java.nio.file.Path;

/** The operations on names of files that the storage of a replica uses. */
interface Disk {

  /**
   * Opens a file for reading and writing, and creates it if needed.
   *
   * @param isEmptied whether the content of an existing file is removed
   */
  DiskFile open(Path path, boolean isEmptied) throws IOException;

  boolean exists(Path path) throws IOException;

  /** Renames a file, which replaces a file of that name. Durable once the folder is synced. */
  void move(Path from, Path to) throws IOException;

  void deleteIfExists(Path path) throws IOException;

  /**
   * Makes renamed and deleted files in a folder durable.
   *
   * @throws IOException if the names in the folder may be lost with the power
   */
  void syncFolder(Path folder) throws IOException;

  /** Returns the free space, in bytes. */
  long usableBytes(Path folder) throws IOException;
}
