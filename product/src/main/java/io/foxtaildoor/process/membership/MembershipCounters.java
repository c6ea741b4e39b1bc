package io.foxtaildoor.process.membership;

import java.util.EnumMap;
import java.util.Map;
import java.util.concurrent.atomic.LongAdder;

/** Counts datagrams, bytes and errors; safe for use by several threads. */
public final class MembershipCounters {
  /** What is counted. */
  public enum Counter {
    /** Datagrams sent. */
    SENT_DATAGRAMS,
    /** Bytes of the datagrams sent, without UDP and IP headers. */
    SENT_BYTES,
    /** Datagrams received, the dropped ones included. */
    RECEIVED_DATAGRAMS,
    /** Bytes of the datagrams received, without UDP and IP headers. */
    RECEIVED_BYTES,
    /** Datagrams that are no valid message. */
    DROPPED_MALFORMED,
    /** Datagrams of another cluster. */
    DROPPED_FOREIGN,
    /** Datagrams of another protocol version. */
    DROPPED_PROTOCOL,
    /** Records inside valid messages that are invalid. */
    DROPPED_RECORDS,
    /** Datagrams that the socket did not accept. */
    SEND_FAILURES,
    /** State exchanges that did not finish. */
    FAILED_EXCHANGES,
    /** Suspicions raised by own probes. */
    SUSPICIONS,
    /** Refutations of a suspicion or death of the local node. */
    REFUTATIONS
  }

  private final Map<Counter, LongAdder> adders = new EnumMap<>(Counter.class);

  MembershipCounters() {
    for (Counter counter : Counter.values()) {
      adders.put(counter, new LongAdder());
    }
  }

  /** Value since the start of the process. */
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
