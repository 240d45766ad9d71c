package org.geraniumwharf.internal.daemon;

import java.lang.reflect.InvocationHandler;
import java.lang.reflect.Proxy;
import java.util.List;

/**
 * Signals of the process. The JDK's shutdown hooks cannot see a second signal, and its signal class
 * is reached by reflection because the compiler warns of it.
 */
public final class TerminationSignals {

  private static final List<String> TERMINATION = List.of("TERM", "INT");
  private static final List<String> RELOAD = List.of("HUP");

  private TerminationSignals() {}

  /**
   * Calls a handler for SIGTERM and SIGINT, on a thread of the JDK's.
   *
   * @throws ReflectiveOperationException if this JDK has no signals
   */
  public static void handle(Runnable handler) throws ReflectiveOperationException {
    handle(TERMINATION, handler);
  }

  /**
   * Calls a handler for SIGHUP, which would otherwise end the process.
   *
   * @throws ReflectiveOperationException if this JDK has no signals
   */
  public static void handleReload(Runnable handler) throws ReflectiveOperationException {
    handle(RELOAD, handler);
  }

  /**
   * Calls a handler for each of some signals, on a thread of the JDK's.
   *
   * @throws ReflectiveOperationException if this JDK has no signals
   */
  private static void handle(List<String> signals, Runnable handler)
      throws ReflectiveOperationException {
    Class<?> signalType = Class.forName("sun.misc.Signal");
    Class<?> handlerType = Class.forName("sun.misc.SignalHandler");
    InvocationHandler invocation =
        (proxy, method, arguments) -> {
          if (method.getName().equals("handle")) {
            handler.run();
          }
          return null;
        };
    Object signalHandler =
        Proxy.newProxyInstance(
            handlerType.getClassLoader(), new Class<?>[] {handlerType}, invocation);
    for (String name : signals) {
      Object signal = signalType.getConstructor(String.class).newInstance(name);
      signalType.getMethod("handle", signalType, handlerType).invoke(null, signal, signalHandler);
    }
  }
}
