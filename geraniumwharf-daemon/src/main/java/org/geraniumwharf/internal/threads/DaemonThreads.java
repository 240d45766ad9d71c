package org.geraniumwharf.internal.threads;

/** Named threads that do not keep the process alive. */
public final class DaemonThreads {

  private DaemonThreads() {}

  /** Creates a thread that is not started yet. */
  public static Thread create(Runnable work, String name) {
    Thread thread = new Thread(work, name);
    thread.setDaemon(true);
    return thread;
  }

  /** Creates and starts a thread. */
  public static Thread start(Runnable work, String name) {
    Thread thread = create(work, name);
    thread.start();
    return thread;
  }
}
