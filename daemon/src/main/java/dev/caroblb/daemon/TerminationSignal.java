package dev.caroblb.daemon;

import dev.caroblb.core.LogLine;
import java.lang.reflect.InvocationHandler;
import java.lang.reflect.Proxy;
import java.util.List;

/**
 * Runs an action on each termination or reload signal. A shutdown hook would run only once, but a
 * second signal must shorten the drain. The JDK class for signals is not part of its public API, so
 * it is loaded by reflection.
 */
final class TerminationSignal {
  private static final System.Logger LOGGER = System.getLogger(TerminationSignal.class.getName());

  private TerminationSignal() {}

  /** Runs an action on each signal that requests a reload of the settings. */
  static void onReload(Runnable action) {
    if (!handle(List.of("HUP"), action)) {
      LOGGER.log(System.Logger.Level.WARNING, LogLine.of("signal.reload_unavailable").toString());
    }
  }

  /**
   * Runs an action on each termination signal, or as a shutdown hook if signals are unavailable.
   */
  static void onTermination(Runnable action) {
    if (!handle(List.of("TERM", "INT"), action)) {
      Runtime.getRuntime().addShutdownHook(new Thread(action));
    }
  }

  private static boolean handle(List<String> names, Runnable action) {
    try {
      Class<?> signalType = Class.forName("sun.misc.Signal");
      Class<?> handlerType = Class.forName("sun.misc.SignalHandler");
      InvocationHandler invocation = (proxy, method, arguments) -> invoke(method.getName(), action);
      Object handler =
          Proxy.newProxyInstance(
              TerminationSignal.class.getClassLoader(), new Class<?>[] {handlerType}, invocation);
      for (String name : names) {
        Object signal = signalType.getConstructor(String.class).newInstance(name);
        signalType.getMethod("handle", signalType, handlerType).invoke(null, signal, handler);
      }
      return true;
    } catch (ReflectiveOperationException e) {
      LOGGER.log(
          System.Logger.Level.WARNING,
          LogLine.of("signal.unavailable").with("cause", e).toString());
      return false;
    }
  }

  private static Object invoke(String method, Runnable action) {
    switch (method) {
      case "handle" -> action.run();
      case "hashCode" -> {
        return System.identityHashCode(action);
      }
      case "toString" -> {
        return "TerminationSignal";
      }
      default -> {}
    }
    return null;
  }
}
