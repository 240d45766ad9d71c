package org.geraniumwharf.announcement;

import org.geraniumwharf.schema.targets.Announcement;

/** Extracts the network address from the base URL that a target announces. */
public final class AnnouncedAddress {

  private static final String AUTHORITY_PREFIX = "//";

  private AnnouncedAddress() {}

  /** Returns {@code host:port} for the announced address {@code http://host:port}. */
  public static String hostAndPort(Announcement announcement) {
    String url = announcement.address();
    int schemeEnd = url.indexOf(AUTHORITY_PREFIX);
    return schemeEnd < 0 ? url : url.substring(schemeEnd + AUTHORITY_PREFIX.length());
  }
}
