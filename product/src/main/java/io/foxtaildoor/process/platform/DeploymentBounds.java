package io.foxtaildoor.process.platform;

import java.time.Duration;

/**
 * Bounds that the platform sets on a deployment of the node.
 *
 * @param gracePeriod time after the termination signal when the platform kills the process
 * @param retryRatio maximum number of repeats that a service may receive, as a fraction of its
 *     requests
 * @param minRetries number of repeats that a service may receive per window regardless of its
 *     number of requests
 * @param retryWindow time window over which repeats are counted
 */
public record DeploymentBounds(
    Duration gracePeriod, double retryRatio, double minRetries, Duration retryWindow) {}
