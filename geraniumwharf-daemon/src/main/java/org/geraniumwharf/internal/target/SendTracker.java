package org.geraniumwharf.internal.target;

import java.io.IOException;
import okhttp3.Call;
import okhttp3.EventListener;

/** Notes whether any byte of a request may have left this process, and whether writing failed. */
final class SendTracker extends EventListener {

  private volatile boolean isSent;
  private volatile boolean isSendingFailed;

  @Override
  public void requestHeadersStart(Call call) {
    isSent = true;
  }

  @Override
  public void requestFailed(Call call, IOException cause) {
    isSendingFailed = true;
  }

  boolean isSent() {
    return isSent;
  }

  /** Returns whether the connection failed while the request was written. */
  boolean isSendingFailed() {
    return isSendingFailed;
  }
}
