package dev.caroblb.daemon;

import dev.caroblb.core.LogLine;
import java.lang.reflect.InvocationHandler;
import java.lang.reflect.Proxy;
import java.util.List;

/**
 * Calls an action for each termination signal. Shutdown hooks cannot serve here: they run once, and
 * a second signal must shorten the drain. The JDK offers signals only in a class outside its
 * documented interface, which is therefore looked up at run time.
 */
final class TerminationSignal {
  private static final System.Logger LOGGER = System.getLogger(TerminationSignal.class.getName());

  private TerminationSignal() {}

  /** Calls an action for each signal that asks the process to read its settings again. */
  static void onReload(Runnable action) {
    if (!handle(List.of("HUP"), action)) {
      LOGGER.log(System.Logger.Level.WARNING, LogLine.of("signal.reload_unavailable").toString());
    }
  }

  static void onEach(Runnable action) {
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
