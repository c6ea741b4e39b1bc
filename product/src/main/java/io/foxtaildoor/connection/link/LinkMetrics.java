package io.foxtaildoor.connection.link;

import io.micrometer.core.instrument.Counter;
import io.micrometer.core.instrument.MeterRegistry;
import java.util.concurrent.atomic.AtomicInteger;

/** Counters of links and control connections. */
public final class LinkMetrics {
  private final MeterRegistry registry;
  private final Counter droppedFrames;
  private final Counter violations;
  private final Counter silentLinks;
  private final AtomicInteger openLinks;
  private final AtomicInteger acceptedLinks;

  /** Creates the counters in a registry. */
  public LinkMetrics(MeterRegistry registry) {
    this.registry = registry;
    droppedFrames = registry.counter("foxtaildoor.link.frames.dropped");
    violations = registry.counter("foxtaildoor.link.violations");
    silentLinks = registry.counter("foxtaildoor.link.silent");
    openLinks = registry.gauge("foxtaildoor.link.opened", new AtomicInteger());
    acceptedLinks = registry.gauge("foxtaildoor.link.accepted", new AtomicInteger());
  }

  /** Counts a frame for a stream that is not open any more. */
  void countDroppedFrame() {
    droppedFrames.increment();
  }

  void countViolation() {
    violations.increment();
  }

  void countSilentLink() {
    silentLinks.increment();
  }

  void countFailedStream(String kind) {
    registry.counter("foxtaildoor.link.streams.failed", "kind", kind).increment();
  }

  AtomicInteger openLinks() {
    return openLinks;
  }

  AtomicInteger acceptedLinks() {
    return acceptedLinks;
  }

  /** Frames dropped since the start because their stream was finished. */
  public long framesDropped() {
    return (long) droppedFrames.count();
  }
}
