package io.foxtaildoor.process.platform;

import java.time.Duration;

/**
 * A lease held on a key.
 *
 * @param token fencing token of this grant; every later grant for the same key has a larger token
 */
public record PlatformLease(String key, String holder, long token, Duration timeToLive) {}
