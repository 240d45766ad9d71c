package org.geraniumwharf.internal.fleet;

import okhttp3.HttpUrl;
import org.geraniumwharf.schema.targets.Announcement;

/** Checks the base URLs that targets announce. */
public final class TargetUrls {

  private TargetUrls() {}

  /** Returns whether calls can be sent to the announced address. Looks up no name. */
  public static boolean isCallable(Announcement announcement) {
    return HttpUrl.parse(announcement.address()) != null;
  }
}
