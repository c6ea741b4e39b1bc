package io.foxtaildoor.process.platform;

import java.time.Duration;

/**
 * What a platform demands of a deployment.
 *
 * @param stopLimit time after the signal to stop at which a process is killed
 * @param retryShare repeats that a service may receive, as a share of its requests
 * @param retryFloor repeats that a service may receive in the window whatever its requests
 * @param retryWindow window in which repeats are counted
 */
public record DeploymentBounds(
    Duration stopLimit, double retryShare, double retryFloor, Duration retryWindow) {}
