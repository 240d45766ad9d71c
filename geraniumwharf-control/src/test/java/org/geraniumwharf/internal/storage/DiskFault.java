package org.geraniumwharf.internal.storage;

/** What goes wrong at a {@link FaultyDisk}, besides losses of power. */
public enum DiskFault {
  NONE,
  WRITE_FAILS,
  PARTLY_WRITTEN,
  SYNC_FAILS,
  RENAME_FAILS,
  FOLDER_SYNC_FAILS,
  FULL,
  SLOW
}
