package io.foxtaildoor.version.questionnaire;

import java.time.Duration;
import java.util.Set;

/** Ranges and defaults of the values in a questionnaire; docs/questionnaire.md documents them. */
final class Limits {
  /**
   * Maximum length of a document in characters. A service or an entry under {@code work} needs
   * about 300 characters, so a document can have several hundred of them, and the configuration
   * generated from it stays below the maximum size of a value on the platform.
   */
  static final int MAX_DOCUMENT_CHARS = 256 * 1024;

  static final int MAX_SERVICES = 200;
  static final int MAX_WORK_ENTRIES = 1_000;
  static final int MAX_CALLERS = 1_000;
  static final int MAX_SLOTS = 10_000;
  static final int MAX_CONNECTIONS = 100_000;
  static final Duration MAX_COLD_START = Duration.ofMinutes(10);
  static final Duration DEFAULT_COLD_START = Duration.ZERO;

  /**
   * Maximum sum of the reserved shares; leaves a tenth of the slots to any rank that needs them.
   */
  static final int MAX_RESERVED_PERCENT = 90;

  static final Duration MIN_DEADLINE = Duration.ofMillis(1);
  static final Duration MAX_DEADLINE = Duration.ofMinutes(10);
  static final long MAX_BODY_BYTES = 1L << 30;
  static final long DEFAULT_BODY_BYTES = 1L << 20;

  /** Maximum length of a host name in DNS. */
  static final int MAX_HOST_CHARS = 253;

  static final int MAX_PATH_CHARS = 512;

  /** HTTP methods that a route can name. CONNECT and TRACE are not forwarded and thus excluded. */
  static final Set<String> METHODS =
      Set.of("GET", "HEAD", "POST", "PUT", "PATCH", "DELETE", "OPTIONS");

  private Limits() {}
}
