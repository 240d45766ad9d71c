package org.geraniumwharf.internal.http;

import io.javalin.Javalin;
import io.javalin.config.JavalinConfig;
import java.net.InetSocketAddress;
import java.util.function.Consumer;
import org.eclipse.jetty.server.HttpConfiguration;
import org.eclipse.jetty.server.NetworkConnectionLimit;
import org.eclipse.jetty.server.Server;
import org.eclipse.jetty.util.thread.QueuedThreadPool;

/** Builds HTTP servers with a bound on everything that a caller can make grow. */
public final class HttpEdge {

  private static final int MIN_THREADS = 8;
  private static final int IDLE_THREAD_MILLIS = 30_000;
  private static final long IDLE_CONNECTION_MILLIS = 120_000;

  private HttpEdge() {}

  /**
   * Bounds of one server.
   *
   * @param threads most requests handled at once
   * @param connections most open connections
   * @param headerBytes largest request header
   */
  public record Bounds(int threads, int connections, int headerBytes) {}

  /** Starts a server on an address. */
  public static Javalin start(
      String name,
      InetSocketAddress address,
      Bounds bounds,
      ErrorAnswers errors,
      Consumer<JavalinConfig> routes) {
    Javalin server =
        Javalin.create(
            config -> {
              config.startup.showJavalinBanner = false;
              config.http.prefer405over404 = true;
              config.jetty.threadPool = threadPool(name, bounds);
              config.jetty.modifyHttpConfiguration(http -> configure(http, bounds));
              config.jetty.modifyServer(jetty -> limit(jetty, bounds, errors));
              errors.register(config);
              routes.accept(config);
            });
    return server.start(address.getHostString(), address.getPort());
  }

  private static QueuedThreadPool threadPool(String name, Bounds bounds) {
    QueuedThreadPool pool =
        new QueuedThreadPool(
            Math.max(MIN_THREADS, bounds.threads()), MIN_THREADS, IDLE_THREAD_MILLIS);
    pool.setName(name);
    return pool;
  }

  private static void configure(HttpConfiguration http, Bounds bounds) {
    http.setRequestHeaderSize(bounds.headerBytes());
    http.setSendServerVersion(false);
    http.setSendDateHeader(true);
    http.setIdleTimeout(IDLE_CONNECTION_MILLIS);
  }

  private static void limit(Server jetty, Bounds bounds, ErrorAnswers errors) {
    jetty.addBean(new NetworkConnectionLimit(bounds.connections(), jetty));
    jetty.setErrorHandler(errors.jettyHandler());
  }
}
