package io.foxtaildoor.process.platform;

import io.micrometer.core.instrument.Counter;
import io.micrometer.core.instrument.MeterRegistry;

/** Counters of calls to the platform, for comparison with the platform's rate limits. */
final class PlatformMetrics {
  private static final String CALLS = "foxtaildoor.platform.calls";
  private static final String RESULT = "result";

  private final Counter answered;
  private final Counter limited;
  private final Counter notSent;
  private final Counter broken;
  private final Counter withheld;

  PlatformMetrics(MeterRegistry registry) {
    answered = registry.counter(CALLS, RESULT, "answered");
    limited = registry.counter(CALLS, RESULT, "limited");
    notSent = registry.counter(CALLS, RESULT, "not-sent");
    broken = registry.counter(CALLS, RESULT, "broken");
    withheld = registry.counter(CALLS, RESULT, "withheld");
  }

  /** Counts a call that was rejected locally because of the call budget or the back-off. */
  void countRejected() {
    withheld.increment();
  }

  /** Counts a finished call by its outcome. */
  void countOutcome(ExchangeOutcome outcome, boolean overLimit) {
    if (overLimit) {
      limited.increment();
    } else if (outcome instanceof ExchangeOutcome.Answered) {
      answered.increment();
    } else if (outcome instanceof ExchangeOutcome.NotSent) {
      notSent.increment();
    } else {
      broken.increment();
    }
  }
}
