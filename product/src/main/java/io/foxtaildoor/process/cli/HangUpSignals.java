package io.foxtaildoor.process.cli;

import java.lang.reflect.InvocationHandler;
import java.lang.reflect.Method;
import java.lang.reflect.Proxy;
import java.util.Optional;
import java.util.concurrent.Semaphore;
import java.util.concurrent.TimeUnit;

/**
 * Receives SIGHUP and remembers that one arrived until it can be acted on. Java has no public API
 * for signals, and the compiler warns about each direct use of module {@code jdk.unsupported}, so
 * its classes are loaded by reflection.
 */
final class HangUpSignals implements InvocationHandler {
  private final Semaphore received = new Semaphore(0);
  private Optional<ReflectiveOperationException> failure = Optional.empty();

  /**
   * Installs the handler, without which the signal would end the process. It must be installed
   * before the settings are read, so that a signal about settings that change later is remembered.
   * Logs nothing, because the log is not configured so early. The signal cannot be ignored first to
   * save the time that the proxy takes: the JVM installs no handler for an ignored SIGHUP.
   */
  void install() {
    try {
      Class<?> signal = Class.forName("sun.misc.Signal");
      Class<?> handler = Class.forName("sun.misc.SignalHandler");
      Object hangUp = signal.getConstructor(String.class).newInstance("HUP");
      Method handle = signal.getMethod("handle", signal, handler);
      Object listener =
          Proxy.newProxyInstance(handler.getClassLoader(), new Class<?>[] {handler}, this);
      handle.invoke(null, hangUp, listener);
    } catch (ReflectiveOperationException e) {
      failure = Optional.of(e);
    }
  }

  /** Records a signal; the JVM calls this through the proxy. */
  @Override
  public Object invoke(Object proxy, Method method, Object[] arguments) {
    received.release();
    return null;
  }

  /** Returns why the handler could not be installed; empty if it is in place. */
  Optional<ReflectiveOperationException> failure() {
    return failure;
  }

  /**
   * Waits until at least one signal has arrived since the last call, and forgets those that have.
   *
   * @return whether a signal arrived within the time limit
   */
  boolean await(long timeout, TimeUnit unit) throws InterruptedException {
    boolean signalled = received.tryAcquire(timeout, unit);
    received.drainPermits();
    return signalled;
  }
}
