package io.foxtaildoor.process.cli;

import java.lang.System.Logger;
import java.lang.System.Logger.Level;
import java.lang.reflect.Proxy;

/**
 * Installs a handler for SIGHUP. Java has no public API for signals, and the compiler warns about
 * each direct use of module {@code jdk.unsupported}, so its classes are loaded by reflection.
 */
final class SighupHandler {
  private static final Logger LOGGER = System.getLogger(SighupHandler.class.getName());

  private SighupHandler() {}

  /** Runs an action on each SIGHUP. Without a handler the signal would terminate the process. */
  static void install(Runnable action) {
    try {
      Class<?> signal = Class.forName("sun.misc.Signal");
      Class<?> handler = Class.forName("sun.misc.SignalHandler");
      Object listener =
          Proxy.newProxyInstance(
              handler.getClassLoader(),
              new Class<?>[] {handler},
              (proxy, method, arguments) -> {
                action.run();
                return null;
              });
      signal
          .getMethod("handle", signal, handler)
          .invoke(null, signal.getConstructor(String.class).newInstance("HUP"), listener);
    } catch (ReflectiveOperationException e) {
      LOGGER.log(
          Level.WARNING,
          "no handler for SIGHUP could be installed; the signal will terminate the process",
          e);
    }
  }
}
