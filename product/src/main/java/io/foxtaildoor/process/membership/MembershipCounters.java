package io.foxtaildoor.process.membership;

import java.util.EnumMap;
import java.util.Map;
import java.util.concurrent.atomic.LongAdder;

/** Counts datagrams, bytes and errors of the membership protocol; thread-safe. */
public final class MembershipCounters {
  /** Identifies a counter. */
  public enum Counter {
    /** Datagrams sent. */
    SENT_DATAGRAMS,
    /** Bytes of the datagrams sent, without UDP and IP headers. */
    SENT_BYTES,
    /** Datagrams received, including dropped ones. */
    RECEIVED_DATAGRAMS,
    /** Bytes of the datagrams received, without UDP and IP headers. */
    RECEIVED_BYTES,
    /** Dropped datagrams that are not a valid message. */
    DROPPED_MALFORMED,
    /** Dropped datagrams of another cluster. */
    DROPPED_FOREIGN,
    /** Dropped datagrams of another protocol version. */
    DROPPED_PROTOCOL,
    /** Invalid records that were dropped from valid messages. */
    DROPPED_RECORDS,
    /** Datagrams that could not be written to the socket. */
    SEND_FAILURES,
    /** State exchanges that failed or timed out. */
    FAILED_EXCHANGES,
    /** Suspicions raised by failed probes of the local node. */
    SUSPICIONS,
    /** Refutations by the local node of its own suspicion or death. */
    REFUTATIONS
  }

  private final Map<Counter, LongAdder> adders = new EnumMap<>(Counter.class);

  MembershipCounters() {
    for (Counter counter : Counter.values()) {
      adders.put(counter, new LongAdder());
    }
  }

  /** Returns the value of a counter since the start of the process. */
  public long value(Counter counter) {
    return adders.get(counter).sum();
  }

  void increment(Counter counter) {
    adders.get(counter).increment();
  }

  void add(Counter counter, long amount) {
    adders.get(counter).add(amount);
  }
}
