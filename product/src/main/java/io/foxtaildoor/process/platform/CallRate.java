package io.foxtaildoor.process.platform;

/**
 * Limit of calls to the platform.
 *
 * @param burst calls that may start at once
 * @param perSecond calls per second in the long run
 */
public record CallRate(int burst, double perSecond) {}
