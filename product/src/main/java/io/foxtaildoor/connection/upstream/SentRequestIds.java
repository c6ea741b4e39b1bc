package io.foxtaildoor.connection.upstream;

import org.agrona.collections.IntHashSet;

/**
 * Ids of the requests that were sent on one connection. Only their hashes are kept, so an id may be
 * reported as sent although it was not, but never the reverse.
 */
final class SentRequestIds {
  private final IntHashSet hashes = new IntHashSet();
  private int count;

  void add(String requestId) {
    hashes.add(requestId.hashCode());
    count++;
  }

  /** Whether a request with the id may have been sent. */
  boolean mayContain(String requestId) {
    return hashes.contains(requestId.hashCode());
  }

  /** Number of requests that were sent. */
  int count() {
    return count;
  }
}
