/** Starts daemon threads whose failures end only the thread. */
final class Threads {
  private Threads() {}

  /** A task that may fail. */
  interface Task {
    void run() throws Exception;
  }

  static Thread start(String name, Task task) {
    Thread thread =
        new Thread(
            () -> {
              try {
                task.run();
              } catch (Exception e) {
                if (System.getenv("REVIEW_DEBUG") != null) {
                  System.err.println(name + ": " + e);
                }
              }
            },
            name);
    thread.setDaemon(true);
    thread.start();
    return thread;
  }

  static void sleep(long millis) {
    try {
      Thread.sleep(Math.max(0, millis));
    } catch (InterruptedException e) {
      throw new IllegalStateException(e);
    }
  }
}
