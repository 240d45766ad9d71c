package org.geraniumwharf.internal.storage;

import java.io.IOException;
import java.nio.file.Path;

/** Makes created, renamed and deleted files in a folder durable. */
interface FolderSync {

  /**
   * Syncs a folder.
   *
   * @throws IOException if the names in the folder may be lost with the power
   */
  void sync(Path folder) throws IOException;
}
