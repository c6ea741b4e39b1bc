package io.foxtaildoor.process.cli;

import java.util.concurrent.CompletableFuture;
import java.util.function.LongPredicate;

/**
 * Ends the process in a planned stop when it receives a termination signal, also while the node
 * starts. The hook halts the process itself, because the exit code after a signal would not be 0.
 */
final class TerminationHook implements Runnable {
  private final Thread thread = new Thread(this, "stop");
  private final CompletableFuture<LongPredicate> stop = new CompletableFuture<>();
  private volatile boolean starting;

  /** Installs the hook. A signal ends the process at once until the start of the node begins. */
  void install() {
    Runtime.getRuntime().addShutdownHook(thread);
  }

  /** Removes the hook, so that the process ends with the exit code of its command. */
  void remove() {
    stop.complete(signalNanos -> false);
    try {
      Runtime.getRuntime().removeShutdownHook(thread);
    } catch (IllegalStateException e) {
      // The stop has begun, and the hook ends the process.
      return;
    }
  }

  /** Makes a signal wait until the start of the node has ended. */
  void beginStart() {
    starting = true;
  }

  /**
   * Ends the start of the node.
   *
   * @param action stops the node, given the time of the signal in nanoseconds, and returns whether
   *     it interrupted nothing
   */
  void endStart(LongPredicate action) {
    stop.complete(action);
  }

  /** Stops the node and ends the process. */
  @Override
  public void run() {
    long signalNanos = System.nanoTime();
    boolean finished = !starting || stop.join().test(signalNanos);
    Runtime.getRuntime().halt(finished ? Main.EXIT_SUCCESS : Main.EXIT_FAILURE);
  }
}
