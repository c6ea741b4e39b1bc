package io.foxtaildoor.connection.link;

import io.micrometer.core.instrument.Counter;
import io.micrometer.core.instrument.MeterRegistry;
import java.util.concurrent.atomic.AtomicInteger;

/** Metrics of links and control connections. */
public final class LinkMetrics {
  private final MeterRegistry registry;
  private final Counter droppedFrames;
  private final Counter violations;
  private final Counter silentLinks;
  private final AtomicInteger openLinks;
  private final AtomicInteger acceptedLinks;

  /** Registers the metrics. */
  public LinkMetrics(MeterRegistry registry) {
    this.registry = registry;
    droppedFrames = registry.counter("foxtaildoor.link.frames.dropped");
    violations = registry.counter("foxtaildoor.link.violations");
    silentLinks = registry.counter("foxtaildoor.link.silent");
    openLinks = registry.gauge("foxtaildoor.link.opened", new AtomicInteger());
    acceptedLinks = registry.gauge("foxtaildoor.link.accepted", new AtomicInteger());
  }

  /** Counts a dropped frame of a stream that had already finished. */
  void countDroppedFrame() {
    droppedFrames.increment();
  }

  /** Counts a protocol violation by another node. */
  void countViolation() {
    violations.increment();
  }

  /** Counts a link that was reset because a ping got no reply. */
  void countSilentLink() {
    silentLinks.increment();
  }

  /** Counts a stream failure reported by another node, by error kind. */
  void countFailedStream(String kind) {
    registry.counter("foxtaildoor.link.streams.failed", "kind", kind).increment();
  }

  AtomicInteger openLinks() {
    return openLinks;
  }

  AtomicInteger acceptedLinks() {
    return acceptedLinks;
  }

  /** Returns how many frames were dropped since start-up because their stream had finished. */
  public long framesDropped() {
    return (long) droppedFrames.count();
  }
}
